package org.sardinelift.core.poison;

/** What is known of a request that was in flight when a target died. */
public enum CrashVerdict {
    /** Nothing speaks against it. */
    CLEAR,
    /** A target died with it in flight: it is run alone until that is settled. */
    SUSPECT,
    /** It killed a target while it was the only suspect there: it is refused. */
    REFUSED
}
