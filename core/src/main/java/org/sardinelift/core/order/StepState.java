package org.sardinelift.core.order;

/** State of one target in a roll-out. */
public enum StepState {
    /** The target is ordered to the new value, and may be changing. */
    ORDERED(true, false),
    /** The target has the new value and serves. */
    MOVED(false, true),
    /** The value of the target is not known, as its order failed or was given up. */
    DOUBTFUL(false, false),
    /** The target is ordered back to its previous value, and may be changing. */
    RETURNING(true, false),
    /** The target has its previous value. */
    RETURNED(false, true);

    private final boolean isActive;
    private final boolean mayServe;

    StepState(boolean isActive, boolean mayServe) {
        this.isActive = isActive;
        this.mayServe = mayServe;
    }

    /**
     * Whether an order to the target may be under way.
     *
     * @return true for the states in which orders are given
     */
    public boolean isActive() {
        return isActive;
    }

    /**
     * Whether a target that reports to serve can be relied on to do so.
     *
     * @return false while its value is unknown or changing
     */
    public boolean mayServe() {
        return mayServe;
    }
}
