package org.sardinelift.companion.outcome;

import java.time.Duration;

/**
 * Bounds of the outcomes kept.
 *
 * @param maxRecords ended attempts kept
 * @param maxBytes bytes of answers of ended attempts kept
 * @param retention longest time that an ended attempt is kept
 * @param maxTombstones attempts remembered as never to be started
 * @param maxEntriesWithLostOutcomes entries remembered as having lost an outcome
 */
public record OutcomeLimits(
        int maxRecords,
        long maxBytes,
        Duration retention,
        int maxTombstones,
        int maxEntriesWithLostOutcomes) {}
