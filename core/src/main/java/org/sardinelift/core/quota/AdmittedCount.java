package org.sardinelift.core.quota;

/**
 * Calls that an instance has admitted under one limit.
 *
 * @param calls their number
 * @param ageNanos time since counting began
 */
public record AdmittedCount(long calls, long ageNanos) {}
