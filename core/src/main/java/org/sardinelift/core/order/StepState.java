package org.sardinelift.core.order;

/** How far one target is. */
public enum StepState {
    /** It is to take the new value, and may be doing so. */
    ORDERED(true, false),
    /** It holds the new value and serves. */
    MOVED(false, true),
    /** What it holds is not known: its order failed or was given up. */
    DOUBTFUL(false, false),
    /** It is to go back, and may be doing so. */
    RETURNING(true, false),
    /** It holds what it held before. */
    RETURNED(false, true);

    private final boolean isActive;
    private final boolean serving;

    StepState(boolean active, boolean serving) {
        this.isActive = active;
        this.serving = serving;
    }

    /**
     * Whether an order for it may be under way.
     *
     * @return true for the states in which one is given
     */
    public boolean isActive() {
        return isActive;
    }

    /**
     * Whether the target may be counted on to serve where its report says so.
     *
     * @return false while its state is open
     */
    public boolean mayServe() {
        return serving;
    }
}
