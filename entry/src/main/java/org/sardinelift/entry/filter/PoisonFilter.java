package org.sardinelift.entry.filter;

import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.core.poison.CrashVerdict;
import org.sardinelift.entry.call.CrashGuard;

/** Refuses requests that are known to crash targets. */
public final class PoisonFilter implements CallFilter {
    private final CrashGuard guard;

    private PoisonFilter(CrashGuard guard) {
        this.guard = guard;
    }

    /**
     * Creates the filter.
     *
     * @param guard detects requests that crash targets
     * @return the filter
     */
    public static PoisonFilter of(CrashGuard guard) {
        return new PoisonFilter(guard);
    }

    @Override
    public void apply(CallContext call, Runnable next) {
        if (guard.verdict(call.spec().fingerprint()) == CrashVerdict.REFUSED) {
            call.refuse(
                    Problem.notRun(
                            ProblemKind.CRASHES_TARGETS,
                            "targets died with this request in flight"));
        } else {
            next.run();
        }
    }
}
