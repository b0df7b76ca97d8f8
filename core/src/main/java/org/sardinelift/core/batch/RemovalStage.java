package org.sardinelift.core.batch;

/** Stage of the removal of a job. */
public enum RemovalStage {
    /** Callers can find the job. */
    LIVE,
    /** Callers can no longer find the job; its objects still exist for readers under way. */
    RETIRED,
    /** All objects of the job but its header are deleted. */
    EMPTIED
}
