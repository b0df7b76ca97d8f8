package org.sardinelift.core.gate;

/**
 * A target's report of its own load, which arrives with a delay.
 *
 * @param running calls that it runs
 * @param waiting calls that wait in its queue
 * @param slots calls that it can run at once
 * @param lagMs age of these figures, milliseconds
 */
public record EngineLoad(int running, int waiting, int slots, long lagMs) {}
