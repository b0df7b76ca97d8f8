package org.sardinelift.companion.outcome;

import java.time.Duration;

/**
 * Bounds of the outcomes kept.
 *
 * @param maxRecords maximum number of ended attempts
 * @param maxBytes maximum total response bytes of ended attempts
 * @param retention maximum time that an ended attempt is kept
 * @param maxTombstones maximum number of attempts remembered as never to be started
 * @param maxEntriesWithLostOutcomes entries remembered as having lost an outcome; beyond it every
 *     entry counts as one
 */
public record OutcomeBounds(
        int maxRecords,
        long maxBytes,
        Duration retention,
        int maxTombstones,
        int maxEntriesWithLostOutcomes) {}
