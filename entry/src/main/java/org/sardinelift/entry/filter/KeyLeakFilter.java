package org.sardinelift.entry.filter;

import java.util.Optional;
import org.sardinelift.core.outcome.Problem;

/** Refuses a job whose lines contain the caller's key, since a target would see it. */
public final class KeyLeakFilter implements CallFilter {
    private KeyLeakFilter() {}

    /**
     * Creates the filter.
     *
     * @return the filter
     */
    public static KeyLeakFilter create() {
        return new KeyLeakFilter();
    }

    @Override
    public void apply(CallContext call, Runnable next) {
        Optional<Problem> leak = KeyGuard.findBodyLeak(call);
        leak.ifPresentOrElse(call::refuse, next);
    }
}
