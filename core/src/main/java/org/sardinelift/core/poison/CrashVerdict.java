package org.sardinelift.core.poison;

/** Verdict on a request that may have been in flight when a target died. */
public enum CrashVerdict {
    /** There is no evidence against it. */
    CLEAR,
    /**
     * A target died with it in flight; it runs as the only suspect on a target until the cause is
     * known.
     */
    SUSPECT,
    /**
     * It killed a target as the only suspect there, or was the only request in flight on two
     * targets that died; it is refused.
     */
    REFUSED
}
