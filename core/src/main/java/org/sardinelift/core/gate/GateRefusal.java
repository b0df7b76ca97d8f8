package org.sardinelift.core.gate;

/** Reason for which a call that waited, or was to wait, does not get a slot. */
public enum GateRefusal {
    /** Too many calls are waiting. */
    QUEUE_FULL,
    /** Its deadline passed before a slot was free. */
    DEADLINE_EXCEEDED,
    /** It was preempted by an online call and no slot became free in time. */
    PREEMPTED,
    /** The target is leaving. */
    TARGET_LEAVING,
    /** The target is down. */
    TARGET_DOWN
}
