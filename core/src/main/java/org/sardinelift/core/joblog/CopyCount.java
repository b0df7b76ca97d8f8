package org.sardinelift.core.joblog;

import java.util.Optional;

/**
 * Counts the disks that hold a job, from the answers of those that were asked to. Not safe for use
 * by several threads at once.
 */
public final class CopyCount {
    private final int wanted;
    private int open;
    private int copies;
    private boolean unclear;

    private CopyCount(int wanted, int asked) {
        this.wanted = wanted;
        this.open = asked;
    }

    /**
     * A count before any answer.
     *
     * @param wanted disks that must hold the job
     * @param asked disks that are asked to
     * @return the count
     */
    public static CopyCount of(int wanted, int asked) {
        return new CopyCount(wanted, asked);
    }

    /**
     * Whether the answers to come can still suffice; where they can't, nobody should be asked.
     *
     * @return false where too few disks are asked
     */
    public boolean canSuffice() {
        return copies + open >= wanted;
    }

    /** What became of a job. */
    public enum Outcome {
        /** Enough disks hold it. */
        KEPT,
        /** No disk holds it. */
        NOT_KEPT,
        /** Too few disks hold it, but one does or may, so that it may run. */
        UNCLEAR
    }

    /**
     * A disk has answered.
     *
     * @param holds whether it holds the job
     */
    public void onAnswer(boolean holds) {
        open--;
        copies += holds ? 1 : 0;
    }

    /** A disk was asked and its answer is lost. */
    public void onNoAnswer() {
        open--;
        unclear = true;
    }

    /**
     * Disks that are known to hold the job.
     *
     * @return their number
     */
    public int copies() {
        return copies;
    }

    /**
     * What became of the job.
     *
     * @return empty while answers are missing that can still decide it
     */
    public Optional<Outcome> outcome() {
        if (copies >= wanted) {
            return Optional.of(Outcome.KEPT);
        }
        if (open > 0) {
            return Optional.empty();
        }
        return Optional.of(copies == 0 && !unclear ? Outcome.NOT_KEPT : Outcome.UNCLEAR);
    }
}
