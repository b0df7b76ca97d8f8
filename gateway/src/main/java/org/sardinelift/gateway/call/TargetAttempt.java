package org.sardinelift.gateway.call;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.load.TargetLoad;
import org.sardinelift.core.outcome.RunOutcome;
import org.sardinelift.core.plan.SoftwareVersion;
import org.sardinelift.core.stream.EventStreamParser;
import org.sardinelift.core.stream.StreamEvent;
import org.sardinelift.gateway.call.TargetTable.Target;
import org.sardinelift.http.BodyBuffer;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpResponseListener;

/** One attempt of a call at one target. Used on the event loop. */
final class TargetAttempt implements HttpResponseListener {
    /** A response that is not a stream is kept in memory until it is complete. */
    private static final int MAX_BODY_BYTES = 16 << 20;

    private final ForwardedCall forwardedCall;
    private final Target target;
    private final SoftwareVersion softwareVersion;
    private final TargetLoad load;
    private final long sentAt;
    private final BodyBuffer body = BodyBuffer.create();
    private Runnable canceller = () -> {};
    private long lastProgressAt;
    private long firstEventAt;
    private int events;
    private ResponseHead head = ResponseHead.NONE;
    private @Nullable EventStreamParser parser;
    private boolean isRest;

    TargetAttempt(ForwardedCall forwardedCall, Target target, TargetLoad load, long sentAt) {
        this.forwardedCall = forwardedCall;
        this.target = target;
        this.softwareVersion = SoftwareVersion.of(target.registration());
        this.load = load;
        this.sentAt = sentAt;
        this.lastProgressAt = sentAt;
    }

    void start(HttpClient client, HttpCall call) {
        canceller = client.send(call, this);
    }

    /** Closes the connection so that the target cancels the call. */
    void cancel() {
        canceller.run();
    }

    Target target() {
        return target;
    }

    /** Version that the target's software had when the call was sent. */
    SoftwareVersion softwareVersion() {
        return softwareVersion;
    }

    TargetLoad load() {
        return load;
    }

    int status() {
        return head.status();
    }

    List<Map.Entry<String, String>> headers() {
        return head.headers();
    }

    long lastProgressAt() {
        return lastProgressAt;
    }

    boolean isSuccess() {
        return head.isSuccess();
    }

    boolean isServerError() {
        return head.isServerError();
    }

    /** Whether nothing but the end of the connection shows that the response is complete. */
    boolean endsWithConnection() {
        return head.endsWithConnection();
    }

    /** Whether the head of a response has arrived. */
    boolean hasBegun() {
        return head != ResponseHead.NONE;
    }

    boolean hasEvents() {
        return events > 0;
    }

    /** Whether bytes of an event have arrived, but not its end. */
    boolean hasPartialEvent() {
        return parser != null && parser.hasPartialEvent();
    }

    @Override
    public void onHead(int status, List<Map.Entry<String, String>> headers) {
        if (!forwardedCall.isCurrent(this)) {
            return;
        }
        head = ResponseHead.read(status, headers, forwardedCall.context().headers().names());
        recordProgress();
        forwardedCall
                .context()
                .targets()
                .onResponseHead(target, head, forwardedCall.call().expectedWeights());
        Optional<String> mismatch = head.findMismatch(forwardedCall.call().id());
        if (mismatch.isPresent()) {
            fail(mismatch.get());
            return;
        }
        recordRateLimit();
        recordLoad();
        if (head.isSuccess() && !head.isSigned()) {
            fail("the response has no signature header");
        } else if (head.isSuccess() && forwardedCall.isStream()) {
            startStream();
        }
    }

    private void startStream() {
        isRest = forwardedCall.hasForwardedEvents();
        Optional<String> fault = isRest ? head.findRestFault() : Optional.empty();
        if (fault.isPresent()) {
            fail(fault.get());
            return;
        }
        OptionalLong lastEventId = forwardedCall.lastEventId();
        parser =
                lastEventId.isPresent()
                        ? EventStreamParser.resumingAfter(lastEventId.getAsLong())
                        : EventStreamParser.fromStart();
    }

    private void recordRateLimit() {
        ForwardingContext context = forwardedCall.context();
        if (context.targets().onStatedRate(target, head.statedRate(), sentAt)) {
            context.network().onLocalChange();
        }
    }

    private void recordLoad() {
        head.statedCalls()
                .ifPresent(
                        calls ->
                                forwardedCall
                                        .context()
                                        .network()
                                        .targetLoads()
                                        .onTargetLoad(
                                                target.id(), calls, forwardedCall.context().now()));
    }

    /** Called for what brings the call forward: bytes of an incomplete event don't. */
    private void recordProgress() {
        long now = forwardedCall.context().now();
        lastProgressAt = now;
        target.onBytesReceived(now);
    }

    @Override
    public void onData(byte[] part) {
        if (!forwardedCall.isCurrent(this)) {
            return;
        }
        target.onBytesReceived(forwardedCall.context().now());
        if (parser == null) {
            bufferBody(part);
            return;
        }
        List<StreamEvent> newEvents = parser.parse(part);
        if (!newEvents.isEmpty()) {
            recordProgress();
            recordEvents(newEvents.size());
            forwardedCall.forwardEvents(this, newEvents);
        }
        if (parser.fault().isPresent()) {
            fail(parser.fault().get());
        }
    }

    private void bufferBody(byte[] part) {
        if (body.size() + part.length > MAX_BODY_BYTES) {
            fail("the body is longer than " + MAX_BODY_BYTES + " bytes");
            return;
        }
        recordProgress();
        body.add(part);
    }

    @Override
    public long heldBytes() {
        int partialEvent = parser == null ? 0 : parser.heldBytes();
        return body.size() + partialEvent + forwardedCall.unsentBytes();
    }

    /** Time that the call has occupied its slot, without the wait in the target's queue. */
    long slotNanos() {
        return firstEventAt == 0
                ? Math.max(0, lastProgressAt - sentAt - load.expectedWaitNanos())
                : lastProgressAt - firstEventAt + target.health().timeToFirstEventNanos();
    }

    private void recordEvents(int count) {
        if (events == 0) {
            firstEventAt = lastProgressAt;
            if (load.freeSlots() > 0) {
                target.health().onFirstEvent(lastProgressAt - sentAt);
            }
        }
        events += count;
    }

    @Override
    public void onEnd() {
        if (!forwardedCall.isCurrent(this)) {
            return;
        }
        recordProgress();
        switch (head.kind()) {
            case REJECTION -> forwardedCall.onAttemptFailed(this, RunOutcome.NOT_RUN, rejection());
            case REFUSAL ->
                    forwardedCall.onAttemptFailed(
                            this, RunOutcome.NOT_RUN, "refused with status " + head.status());
            case UNPROVEN_REFUSAL ->
                    fail(
                            "status %d without a statement that the call was not run"
                                    .formatted(head.status()));
            default -> onRunEnded();
        }
    }

    private String rejection() {
        return forwardedCall
                .context()
                .targets()
                .onRejected(target, head, forwardedCall.call().expectedWeights());
    }

    private void onRunEnded() {
        if (parser == null) {
            forwardedCall.onCompleteResponse(this, body.toByteArray());
        } else if (head.isBrokenOff(events, isRest, parser.hasPartialEvent())) {
            onStreamBrokenOff();
        } else {
            target.health().onSuccess(lastProgressAt - firstEventAt, events - 1);
            forwardedCall.onStreamEnd(this);
        }
    }

    @Override
    public void onFailure(Throwable cause, boolean mayHaveRun) {
        if (!forwardedCall.isCurrent(this)) {
            return;
        }
        String reason = String.valueOf(cause.getMessage() == null ? cause : cause.getMessage());
        if (mayHaveRun) {
            onConnectionBroken(reason);
        } else {
            forwardedCall.context().targets().onSilent(target, reason);
            forwardedCall.onAttemptFailed(this, RunOutcome.NOT_RUN, reason);
        }
    }

    private void onStreamBrokenOff() {
        String reason =
                parser != null && parser.hasPartialEvent()
                        ? "the stream ended before the end of an event"
                        : "the stream ended without an event, and without proof that none was left";
        if (head.endsWithConnection()) {
            onConnectionBroken(reason);
        } else {
            fail(reason);
        }
    }

    private void onConnectionBroken(String reason) {
        forwardedCall.context().targets().onConnectionBroken(target, forwardedCall.call().traits());
        forwardedCall.onAttemptFailed(this, RunOutcome.UNKNOWN, reason);
    }

    /** Cancels the attempt because its response is unusable; the rest of it is discarded. */
    private void fail(String reason) {
        cancel();
        forwardedCall.context().targets().onCallFailed(target);
        forwardedCall.onAttemptFailed(this, RunOutcome.UNKNOWN, reason);
    }
}
