package org.sardinelift.core.quota;

import java.time.Duration;

/**
 * Timeouts of a {@link FleetQuota}.
 *
 * @param silenceTimeout time without a report after which a peer is assumed to spend its part
 *     unseen
 * @param newPeerAge age of a peer's incarnation up to which its first report received here counts
 *     in full, since none of it can have been counted before
 */
public record QuotaBounds(Duration silenceTimeout, Duration newPeerAge) {}
