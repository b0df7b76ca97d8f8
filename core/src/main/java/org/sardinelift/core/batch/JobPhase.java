package org.sardinelift.core.batch;

/** Phases of a job; each says what may still happen to it. */
public enum JobPhase {
    /** Items are run and results added. */
    OPEN(false, "in_progress"),
    /** A cancel was asked for; nothing is started any more. */
    CANCELLING(false, "cancelling"),
    /** The cancel holds; nothing is added any more. */
    CANCELLED(true, "cancelled"),
    /** Every item has ended. */
    COMPLETED(true, "completed");

    private final boolean isTerminal;
    private final String label;

    JobPhase(boolean terminal, String label) {
        this.isTerminal = terminal;
        this.label = label;
    }

    /**
     * Whether the job has ended.
     *
     * @return true where nothing changes any more
     */
    public boolean isTerminal() {
        return isTerminal;
    }

    /**
     * The name towards callers.
     *
     * @return lower-case name
     */
    public String label() {
        return label;
    }
}
