package org.sardinelift.core.order;

/** Phases of a roll-out. */
public enum RolloutPhase {
    /** Targets are moved one after another. */
    RUNNING(false),
    /** Something failed or it was stopped; targets go back. */
    ROLLING_BACK(false),
    /** Every target holds what was wanted. */
    COMPLETED(true),
    /** Every target holds what it held before. */
    ROLLED_BACK(true);

    private final boolean isTerminal;

    RolloutPhase(boolean terminal) {
        this.isTerminal = terminal;
    }

    /**
     * Whether it has ended.
     *
     * @return true where no order is given any more
     */
    public boolean isTerminal() {
        return isTerminal;
    }
}
