package org.sardinelift.gateway.call;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.plan.SoftwareVersion;
import org.sardinelift.core.resume.OriginInquiry.Outcome;
import org.sardinelift.core.resume.StreamVersions.Found;
import org.sardinelift.core.resume.StreamVersions.Source;
import org.sardinelift.gateway.call.ErrorResponses.Kind;
import org.sardinelift.gateway.peer.StreamExchange;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.runtime.log.LogEvent;

/**
 * Admits streams that callers resume at the software version that began them, and refuses those
 * whose version isn't known or has gone: no target checks which version wrote the events before.
 * Used on the event loop.
 */
final class ResumeGate implements CallGate {
    /** Time in which a keeper that is restarting or cut off may be back. */
    private static final Duration KEEPER_RETURN_TIME = Duration.ofSeconds(1);

    private final ForwardingContext context;
    private final CallGate next;

    ResumeGate(ForwardingContext context, CallGate next) {
        this.context = context;
        this.next = next;
    }

    /** Passes a call on, once it is known where a resumed stream may go on, or refuses it. */
    @Override
    public void admit(HttpExchange exchange, ForwardedCall forwardedCall) {
        AdmittedCall call = forwardedCall.call();
        if (!call.isResumedStream()) {
            next.admit(exchange, forwardedCall);
            return;
        }
        long arrivedAt = context.now();
        Optional<Found> found = find(call);
        if (found.isPresent()) {
            resume(exchange, forwardedCall, found.get(), arrivedAt);
        } else if (call.resumedCallId().isEmpty()) {
            String detail =
                    "the call names no attempt that began the stream, and %s may have several"
                            + " software versions; send it from the start";
            refuse(
                    exchange,
                    call,
                    Kind.UNKNOWN_ORIGIN,
                    detail.formatted(call.service()),
                    streams().isMakingContact() ? retryDelay(call) : null);
        } else {
            streams()
                    .inquire(
                            streamHash(call),
                            call.service(),
                            outcome -> onOutcome(exchange, forwardedCall, outcome, arrivedAt));
        }
    }

    private StreamExchange streams() {
        return context.network().streams();
    }

    private static long streamHash(AdmittedCall call) {
        return StreamExchange.streamHash(call.team(), call.resumedCallId());
    }

    /** Finds the version that began a stream from what this instance knows. */
    private Optional<Found> find(AdmittedCall call) {
        return call.resumedCallId().isEmpty()
                ? streams()
                        .soleVersion(call.service())
                        .map(version -> new Found(version, Source.SOLE_VERSION))
                : streams().find(streamHash(call), call.service());
    }

    private void onOutcome(
            HttpExchange exchange, ForwardedCall forwardedCall, Outcome outcome, long arrivedAt) {
        if (!exchange.isOpen()) {
            return;
        }
        if (outcome instanceof Outcome.Known known) {
            resume(exchange, forwardedCall, new Found(known.version(), Source.ASKED), arrivedAt);
        } else if (outcome instanceof Outcome.Unknown unknown) {
            refuseUnknown(
                    exchange,
                    forwardedCall.call(),
                    unknown.silentKeepers(),
                    streams().isMakingContact());
        }
    }

    private static void refuseUnknown(
            HttpExchange exchange, AdmittedCall call, int silentKeepers, boolean isMakingContact) {
        LogEvent.of("call.origin_unknown")
                .with("call", call.id())
                .with("resumes", call.resumedCallId())
                .with("service", call.service())
                .with("silent_keepers", silentKeepers)
                .with("making_contact", isMakingContact)
                .info();
        String detail =
                "no instance knows which software version began the stream, %d have not answered;"
                        + " send it from the start";
        refuse(
                exchange,
                call,
                Kind.UNKNOWN_ORIGIN,
                detail.formatted(silentKeepers),
                silentKeepers == 0 && !isMakingContact ? null : retryDelay(call));
    }

    private static Duration retryDelay(AdmittedCall call) {
        Duration longest = ErrorResponses.maxRetryDelay(call.timeout());
        return KEEPER_RETURN_TIME.compareTo(longest) < 0 ? KEEPER_RETURN_TIME : longest;
    }

    private void resume(
            HttpExchange exchange, ForwardedCall forwardedCall, Found found, long arrivedAt) {
        AdmittedCall call = forwardedCall.call();
        SoftwareVersion version = found.version();
        boolean isOnRoute =
                call.route().services().stream()
                        .anyMatch(each -> each.service().equals(version.service()));
        if (!isOnRoute || context.targets().isReplaced(version)) {
            refuse(
                    exchange,
                    call,
                    Kind.VERSION_GONE,
                    "the stream began at version %s of %s, which no target of the route has; "
                                    .formatted(version.version(), version.service())
                            + "send it from the start",
                    null);
            return;
        }
        GatewayMetrics.recordResume(label(found));
        LogEvent.of("call.resumed")
                .with("call", call.id())
                .with("resumes", call.resumedCallId())
                .with("resumed_after", call.lastEventId().orElse(-1))
                .with("service", version.service())
                .with("version", version.version())
                .with("source", label(found))
                .with("asked_ms", TimeUnit.NANOSECONDS.toMillis(context.now() - arrivedAt))
                .info();
        forwardedCall.resumeAt(version);
        next.admit(exchange, forwardedCall);
    }

    private static String label(Found found) {
        return found.source().name().toLowerCase(Locale.ROOT);
    }

    private static void refuse(
            HttpExchange exchange,
            AdmittedCall call,
            Kind kind,
            String detail,
            @Nullable Duration retryAfter) {
        GatewayMetrics.recordResume(kind.label());
        ErrorResponses.send(exchange, kind, call.id(), detail, retryAfter);
    }
}
