package org.sardinelift.entry.filter;

import java.util.Optional;
import java.util.function.Supplier;
import org.sardinelift.core.outcome.Problem;

/** Refuses new calls while this instance does not accept any, such as during a drain. */
public final class DrainFilter implements CallFilter {
    private final Supplier<Optional<Problem>> refusal;

    private DrainFilter(Supplier<Optional<Problem>> refusal) {
        this.refusal = refusal;
    }

    /**
     * Creates the filter.
     *
     * @param refusal why new calls are refused at present, or empty
     * @return the filter
     */
    public static DrainFilter of(Supplier<Optional<Problem>> refusal) {
        return new DrainFilter(refusal);
    }

    @Override
    public void apply(CallContext call, Runnable next) {
        refusal.get().ifPresentOrElse(call::refuse, next);
    }
}
