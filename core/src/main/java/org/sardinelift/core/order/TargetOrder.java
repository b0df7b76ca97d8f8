package org.sardinelift.core.order;

/**
 * An order to a target, before it has a fencing number.
 *
 * @param target name of the target's companion
 * @param action what to do
 * @param subject model, adapter or role
 * @param version version to load, empty if there is none
 */
public record TargetOrder(String target, OrderAction action, String subject, String version) {}
