package org.sardinelift.gateway.call;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.quota.StatedRate;
import org.sardinelift.gateway.HeaderNames;

/**
 * Head of a target's response.
 *
 * @param status HTTP status code
 * @param headers headers in order
 * @param callId id of the call that the response belongs to, empty if the target didn't state it
 * @param targetId id of the target that sent the response, empty if it didn't state it
 * @param weights version of the target's weights, empty if it didn't state it
 * @param isSigned whether it has the target's signature
 * @param isNotRun whether the target states that it didn't run the call
 * @param isLeaving whether the target states that it is about to stop
 * @param statedRate what the target states of the rate of requests that it takes
 * @param endsWithConnection whether the body has neither a length nor chunks
 * @param statedCalls calls running and waiting at the target, empty if it didn't state them
 * @param workTimePercent how long work takes at the target now, percent of the usual time; empty if
 *     it didn't state that
 */
public record ResponseHead(
        int status,
        List<Map.Entry<String, String>> headers,
        Optional<String> callId,
        Optional<String> targetId,
        Optional<String> weights,
        boolean isSigned,
        boolean isNotRun,
        boolean isLeaving,
        StatedRate statedRate,
        boolean endsWithConnection,
        OptionalInt statedCalls,
        OptionalInt workTimePercent) {
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int OK = 200;
    private static final Pattern EVENT_STREAM =
            Pattern.compile("text/event-stream\\s*(;.*)?", Pattern.CASE_INSENSITIVE);
    private static final String CHUNKED = "chunked";
    private static final String TRUE = "1";

    /** Stands for a head that has not been received yet. */
    public static final ResponseHead NONE =
            new ResponseHead(
                    0,
                    List.of(),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    false,
                    false,
                    false,
                    new StatedRate.Unlimited(),
                    false,
                    OptionalInt.empty(),
                    OptionalInt.empty());

    /**
     * Reads a head.
     *
     * @param status HTTP status code
     * @param headers headers in order
     * @param names names of the headers
     * @return the head
     */
    public static ResponseHead read(
            int status, List<Map.Entry<String, String>> headers, HeaderNames names) {
        LoadHeader load = LoadHeader.parse(value(headers, names.load()));
        return new ResponseHead(
                status,
                headers,
                Optional.ofNullable(value(headers, names.callId())),
                Optional.ofNullable(value(headers, names.targetId())),
                Optional.ofNullable(value(headers, names.weights())),
                value(headers, names.signature()) != null,
                value(headers, names.notRun()) != null,
                TRUE.equals(value(headers, names.leaving())),
                RateHeader.parse(values(headers, names.rateLimit())),
                value(headers, "content-length") == null
                        && value(headers, "transfer-encoding") == null,
                load.calls(),
                load.workTimePercent());
    }

    /**
     * What the response says of the run, once it is complete.
     *
     * @return its kind
     */
    public ResponseKind kind() {
        return ResponseKind.of(status, isNotRun);
    }

    /**
     * Whether the call succeeded, as far as the head tells.
     *
     * @return true for a status of the success class
     */
    public boolean isSuccess() {
        return kind() == ResponseKind.SUCCESS;
    }

    /**
     * Whether the target states a failure of its own.
     *
     * @return true for a status of the class of server errors
     */
    public boolean isServerError() {
        return status >= FIRST_SERVER_ERROR;
    }

    /**
     * Whether the target rejected the call, since it isn't the one that the call was meant for, or
     * since its weights have another version than the call expects.
     *
     * @return true if the call was not run for either reason
     */
    public boolean isRejected() {
        return kind() == ResponseKind.REJECTION;
    }

    /**
     * Whether the call reached another target than the one that it was meant for.
     *
     * @param target id of the target that it was meant for
     * @param expectsWeights whether the call expects a version of the weights, for which a response
     *     that doesn't name its target may have rejected it
     * @return true if the address belongs to another target now
     */
    public boolean isMisdirected(String target, boolean expectsWeights) {
        return isRejected() && targetId.map(id -> !id.equals(target)).orElse(!expectsWeights);
    }

    /**
     * Finds out why the response isn't the rest of a stream, as far as its head tells.
     *
     * @return the reason, or empty if it may be
     */
    public Optional<String> findRestFault() {
        String mediaType = Optional.ofNullable(value(headers, "content-type")).orElse("none");
        boolean isRest = status == OK && EVENT_STREAM.matcher(mediaType).matches();
        return isRest
                ? Optional.empty()
                : Optional.of(
                        "status %d with media type %s is not the rest of the stream"
                                .formatted(status, mediaType));
    }

    /**
     * Whether a stream with this head was broken off, though its response ended in order: a crash
     * looks the same as the end of a stream without framing. An empty rest proves that nothing was
     * left only where the target has written the last chunk.
     *
     * @param events number of events received
     * @param isRest whether events of the stream were received before, in another response
     * @param hasPartialEvent whether the end of an event is missing
     * @return true inside an event, before the first event of a stream without framing, and for an
     *     empty rest without chunks
     */
    public boolean isBrokenOff(int events, boolean isRest, boolean hasPartialEvent) {
        boolean isUnprovenEnd = isRest ? !isChunked() : endsWithConnection;
        return hasPartialEvent || events == 0 && isUnprovenEnd;
    }

    private boolean isChunked() {
        return CHUNKED.equalsIgnoreCase(value(headers, "transfer-encoding"));
    }

    /**
     * Finds out why the response can't be attributed to a call. A connection in use again may
     * deliver a second copy of an earlier response; only the id tells it apart.
     *
     * @param expectedCallId id of the call that was sent
     * @return the reason, or empty if the response belongs to the call
     */
    public Optional<String> findMismatch(String expectedCallId) {
        // A target that rejects a call as meant for another one need not read its id.
        if (callId.map(expectedCallId::equals).orElse(isRejected())) {
            return Optional.empty();
        }
        return Optional.of(
                callId.map(id -> "the response belongs to call " + id)
                        .orElse("the response states no call id"));
    }

    private static @Nullable String value(List<Map.Entry<String, String>> headers, String name) {
        return value(headers, Set.of(name));
    }

    private static @Nullable String value(
            List<Map.Entry<String, String>> headers, Set<String> names) {
        return values(headers, names).stream().findFirst().orElse(null);
    }

    private static List<String> values(List<Map.Entry<String, String>> headers, Set<String> names) {
        return headers.stream()
                .filter(header -> names.stream().anyMatch(header.getKey()::equalsIgnoreCase))
                .map(Map.Entry::getValue)
                .toList();
    }
}
