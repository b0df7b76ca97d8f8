package org.sardinelift.core.batch;

/** Phase of a job. */
public enum JobPhase {
    /** Items run and results are added. */
    OPEN(false, "in_progress"),
    /** A cancel was requested; no further item is started. */
    CANCELLING(false, "cancelling"),
    /** The job was cancelled; no further result is added. */
    CANCELLED(true, "cancelled"),
    /** Every item has ended. */
    COMPLETED(true, "completed");

    private final boolean isTerminal;
    private final String label;

    JobPhase(boolean isTerminal, String label) {
        this.isTerminal = isTerminal;
        this.label = label;
    }

    /**
     * Whether the job has ended.
     *
     * @return true if the job can no longer change
     */
    public boolean isTerminal() {
        return isTerminal;
    }

    /**
     * Returns the name of the phase in the API.
     *
     * @return lower-case name
     */
    public String label() {
        return label;
    }
}
