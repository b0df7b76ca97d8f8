package org.sardinelift.core.outcome;

/** State of an attempt, as a companion reports it when queried. */
public enum AttemptState {
    /** The companion has not received the attempt and will refuse it if it still arrives. */
    NOT_STARTED,
    /** The attempt is running; the body continues from the offset in the query. */
    RUNNING,
    /** The attempt has finished; the rest of the body follows. */
    FINISHED,
    /** The companion does not know the attempt's state. */
    UNKNOWN
}
