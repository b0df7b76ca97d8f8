package org.sardinelift.core.gate;

/**
 * An action that the caller of a {@link SlotGate} must perform; several are performed in the given
 * order.
 */
public sealed interface GateAction {

    /**
     * Returns the call to which the action applies.
     *
     * @return id of the call
     */
    String id();

    /**
     * Start the call at the target, or resume it where it was interrupted.
     *
     * @param id the call
     */
    record Run(String id) implements GateAction {}

    /**
     * Interrupt the call at the target; its slot has already been released.
     *
     * @param id the call
     * @param isRequeued whether it waits for a slot again; if not, the gate no longer knows it
     */
    record Preempt(String id, boolean isRequeued) implements GateAction {}

    /**
     * End the call; the gate no longer knows it.
     *
     * @param id the call
     * @param reason reason of the refusal
     * @param hadSlot whether it had a slot before and was preempted
     */
    record Refuse(String id, GateRefusal reason, boolean hadSlot) implements GateAction {}
}
