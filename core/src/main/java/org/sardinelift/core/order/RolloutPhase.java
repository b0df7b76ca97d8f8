package org.sardinelift.core.order;

/** Phase of a roll-out. */
public enum RolloutPhase {
    /** Targets are changed one after another. */
    RUNNING(false),
    /** A target failed or the roll-out was stopped; targets are changed back. */
    ROLLING_BACK(false),
    /** Every target has the value wanted. */
    COMPLETED(true),
    /** Every target has its previous value. */
    ROLLED_BACK(true);

    private final boolean isTerminal;

    RolloutPhase(boolean isTerminal) {
        this.isTerminal = isTerminal;
    }

    /**
     * Whether the roll-out has ended.
     *
     * @return true if no further order is given
     */
    public boolean isTerminal() {
        return isTerminal;
    }
}
