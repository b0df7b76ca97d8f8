package org.sardinelift.core.gate;

/** What the driver of a gate must do, in order. */
public sealed interface GateAction {

    /**
     * The call that is meant.
     *
     * @return its id
     */
    String id();

    /**
     * Start the call at the target, or go on with it where it was cut.
     *
     * @param id the call
     */
    record Run(String id) implements GateAction {}

    /**
     * Cut the call at the target; its slot is taken already.
     *
     * @param id the call
     * @param isRequeued whether it waits for a slot again; if not, the gate has forgotten it
     */
    record Preempt(String id, boolean isRequeued) implements GateAction {}

    /**
     * End the call; the gate has forgotten it.
     *
     * @param id the call
     * @param reason why
     * @param hadSlot whether it had a slot before and was cut
     */
    record Refuse(String id, GateRefusal reason, boolean hadSlot) implements GateAction {}
}
