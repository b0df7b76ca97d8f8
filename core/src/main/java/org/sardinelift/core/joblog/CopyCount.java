package org.sardinelift.core.joblog;

import java.util.Optional;

/**
 * Counts the disks that hold a copy of a job, from the answers of those asked to store one. Not
 * thread-safe.
 */
public final class CopyCount {
    private final int required;
    private int pending;
    private int copies;
    private boolean hasLostAnswer;

    private CopyCount(int required, int asked) {
        this.required = required;
        this.pending = asked;
    }

    /**
     * Creates a count without answers.
     *
     * @param required number of copies required
     * @param asked number of disks asked to store the job
     * @return the count
     */
    public static CopyCount of(int required, int asked) {
        return new CopyCount(required, asked);
    }

    /**
     * Whether the pending answers can still bring the required number of copies. If not, no disk
     * should be asked.
     *
     * @return false if too few disks are asked
     */
    public boolean canSuffice() {
        return copies + pending >= required;
    }

    /** Result of storing the copies. */
    public enum Outcome {
        /** Enough disks hold the job. */
        KEPT,
        /** No disk holds the job. */
        NOT_KEPT,
        /**
         * Too few disks are known to hold the job, but at least one does or may, so the job may
         * run.
         */
        UNCLEAR
    }

    /**
     * A disk has answered.
     *
     * @param isStored whether the disk holds the job
     */
    public void onAnswer(boolean isStored) {
        pending--;
        copies += isStored ? 1 : 0;
    }

    /** A disk was asked, but its answer was lost. */
    public void onNoAnswer() {
        pending--;
        hasLostAnswer = true;
    }

    /**
     * Counts the disks known to hold the job.
     *
     * @return number of copies
     */
    public int copies() {
        return copies;
    }

    /**
     * Returns the result.
     *
     * @return the result, or empty while a pending answer can still change it
     */
    public Optional<Outcome> outcome() {
        if (copies >= required) {
            return Optional.of(Outcome.KEPT);
        }
        if (pending > 0) {
            return Optional.empty();
        }
        return Optional.of(copies == 0 && !hasLostAnswer ? Outcome.NOT_KEPT : Outcome.UNCLEAR);
    }
}
