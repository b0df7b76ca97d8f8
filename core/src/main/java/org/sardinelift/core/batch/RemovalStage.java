package org.sardinelift.core.batch;

/** How far the removal of a job has come. */
public enum RemovalStage {
    /** The job is there for callers. */
    LIVE,
    /** Callers no longer find the job; its objects are still there for those that read them. */
    RETIRED,
    /** All objects of the job but its header are gone. */
    EMPTIED
}
