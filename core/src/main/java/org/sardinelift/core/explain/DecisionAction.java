package org.sardinelift.core.explain;

/** What an instance decided to do. */
public enum DecisionAction {
    /** A request was counted against its team's rate and let in. */
    ADMITTED("admitted", true),
    /** A request or job was turned away before it ran. */
    REFUSED("refused", true),
    /** An attempt at a call was sent to a target. */
    ROUTED("routed", true),
    /** A call had a slot of its target. */
    STARTED("started", true),
    /** A failed attempt is followed by another. */
    RETRIED("retried", true),
    /** An attempt was stopped, to run its request alone. */
    TAKEN_BACK("taken back", true),
    /** A batch call lost its slot to an online call. */
    CUT("cut", true),
    /** A call ended with the whole answer of a target. */
    ANSWERED("answered", true),
    /** A call ended without a whole answer. */
    ENDED("ended", true),
    /** A target gets no calls. */
    LEFT_OUT("left out", false),
    /** A target that was left out gets calls again. */
    LET_IN("let back in", false),
    /** An instance said that it is leaving. */
    LEAVING("leaving", false),
    /** Another configuration is in force. */
    CONFIGURED("configured", false),
    /** A job was accepted. */
    JOB_ACCEPTED("job accepted", false),
    /** An entry claimed a job. */
    JOB_CLAIMED("job claimed", false),
    /** An entry claimed a job whose holder was lost. */
    JOB_TAKEN_OVER("job taken over", false),
    /** An entry no longer holds a job that has not ended. */
    JOB_GIVEN_UP("job given up", false),
    /** A job is overdue or expected to be. */
    JOB_LATE("job late", false),
    /** A late job is expected to end in time again. */
    JOB_IN_TIME("job in time", false),
    /** A job ended with all its items. */
    JOB_COMPLETED("job completed", false),
    /** A job was cancelled. */
    JOB_CANCELLED("job cancelled", false),
    /** The share of the limits of an instance that is gone went back to the pool. */
    SHARE_RECLAIMED("share reclaimed", false);

    private final String label;
    private final boolean isAboutCall;

    DecisionAction(String label, boolean ofCall) {
        this.label = label;
        this.isAboutCall = ofCall;
    }

    /**
     * The action as operators read it.
     *
     * @return lower-case words
     */
    public String label() {
        return label;
    }

    /**
     * Whether decisions of this kind come with each call, and so must not push out the others.
     *
     * @return true for decisions about single calls
     */
    public boolean isAboutCall() {
        return isAboutCall;
    }
}
