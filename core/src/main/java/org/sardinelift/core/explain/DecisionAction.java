package org.sardinelift.core.explain;

/** Action that an instance decided on. */
public enum DecisionAction {
    /** A request was admitted and counted against its team's rate. */
    ADMITTED("admitted", true),
    /** A request or job was refused before it ran. */
    REFUSED("refused", true),
    /** An attempt at a call was sent to a target. */
    ROUTED("routed", true),
    /** A call got a slot of its target. */
    STARTED("started", true),
    /** A failed attempt is retried. */
    RETRIED("retried", true),
    /** An attempt was stopped, so that its request runs alone on a target. */
    TAKEN_BACK("taken back", true),
    /** A batch call was preempted by an online call. */
    CUT("cut", true),
    /** A call ended with a complete answer of a target. */
    ANSWERED("answered", true),
    /** A call ended without a complete answer. */
    ENDED("ended", true),
    /** A target is excluded and gets no calls. */
    LEFT_OUT("left out", false),
    /** An excluded target gets calls again. */
    LET_IN("let back in", false),
    /** An instance reported that it is leaving. */
    LEAVING("leaving", false),
    /** Another configuration is in effect. */
    CONFIGURED("configured", false),
    /** A job was accepted. */
    JOB_ACCEPTED("job accepted", false),
    /** An entry claimed a job. */
    JOB_CLAIMED("job claimed", false),
    /** An entry claimed the job of an entry that was lost. */
    JOB_TAKEN_OVER("job taken over", false),
    /** An entry no longer holds a job that has not ended. */
    JOB_GIVEN_UP("job given up", false),
    /** A job is overdue or expected to be. */
    JOB_LATE("job late", false),
    /** A late job is expected to end in time again. */
    JOB_IN_TIME("job in time", false),
    /** A job completed all its items. */
    JOB_COMPLETED("job completed", false),
    /** A job was cancelled. */
    JOB_CANCELLED("job cancelled", false),
    /** An instance that is gone had its share of the limits returned to the pool. */
    SHARE_RECLAIMED("share reclaimed", false);

    private final String label;
    private final boolean isAboutCall;

    DecisionAction(String label, boolean isAboutCall) {
        this.label = label;
        this.isAboutCall = isAboutCall;
    }

    /**
     * Returns the name of the action for operators.
     *
     * @return lower-case words
     */
    public String label() {
        return label;
    }

    /**
     * Whether decisions of this kind are made for each call, so that they must not displace the
     * others.
     *
     * @return true for decisions about single calls
     */
    public boolean isAboutCall() {
        return isAboutCall;
    }
}
