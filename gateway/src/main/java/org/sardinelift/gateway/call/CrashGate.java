package org.sardinelift.gateway.call;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.sardinelift.core.poison.CrashJudgement;
import org.sardinelift.gateway.call.ErrorResponses.Kind;
import org.sardinelift.gateway.peer.CrashReports;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.runtime.log.LogEvent;

/**
 * Passes admitted calls on unless requests like them crash targets. Of refused calls one at a time
 * over the fleet is started as a trial. Used on the event loop.
 */
final class CrashGate implements CallGate {
    /** Time for the claims of other instances to arrive, relays included. */
    private static final Duration TRIAL_CLAIM_TIME = Duration.ofMillis(100);

    private final ForwardingContext context;
    private final CallGate next;

    CrashGate(ForwardingContext context, CallGate next) {
        this.context = context;
        this.next = next;
    }

    /** Passes a call on, refuses it, or claims to run it as a trial. */
    @Override
    public void admit(HttpExchange exchange, ForwardedCall call) {
        CrashJudgement judgement = crashes().judge(call.call().traits());
        if (judgement instanceof CrashJudgement.Refused refused) {
            refuse(exchange, call, refused);
        } else if (judgement instanceof CrashJudgement.Trial trial) {
            claimTrial(exchange, call, trial);
        } else {
            next.admit(exchange, call);
        }
    }

    private CrashReports crashes() {
        return context.network().crashes();
    }

    private static void refuse(
            HttpExchange exchange, ForwardedCall call, CrashJudgement.Refused refused) {
        String id = call.call().id();
        String detail =
                "%s %s: %d targets died with it, last evidence %d ms ago"
                        .formatted(
                                refused.isPart() ? "prompt part" : "request",
                                Long.toHexString(refused.trait()),
                                refused.deaths(),
                                refused.evidenceAge().toMillis());
        if (refused.isPart()) {
            ErrorResponses.send(
                    exchange, Kind.PART_CRASHES_TARGETS, id, detail, refused.untilTrial());
        } else {
            ErrorResponses.send(exchange, Kind.CRASHES_TARGETS, id, detail);
        }
    }

    private void claimTrial(HttpExchange exchange, ForwardedCall call, CrashJudgement.Trial trial) {
        crashes().claimTrial(trial.traits());
        context.loop()
                .schedule(
                        () -> endClaim(exchange, call, trial),
                        TRIAL_CLAIM_TIME.toNanos(),
                        TimeUnit.NANOSECONDS);
    }

    private void endClaim(HttpExchange exchange, ForwardedCall call, CrashJudgement.Trial trial) {
        if (!exchange.isOpen()) {
            return;
        }
        boolean runsHere = crashes().isTrialWinner(trial.traits());
        LogEvent.of("crash_cause.trial")
                .with("call", call.call().id())
                .with("trait", Long.toHexString(trial.refusal().trait()))
                .with("deaths", trial.refusal().deaths())
                .with("evidence_age_ms", trial.refusal().evidenceAge().toMillis())
                .with("runs_here", runsHere)
                .info();
        if (runsHere) {
            next.admit(exchange, call);
        } else {
            refuse(exchange, call, trial.refusal());
        }
    }
}
