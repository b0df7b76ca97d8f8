package org.sardinelift.companion.outcome;

/** Whether an attempt may be started. */
public enum Admission {
    /** It is new. */
    NEW,
    /** It was started before. */
    DUPLICATE,
    /** Its entry was told that it was not started, so it must not start any more. */
    TOO_LATE
}
