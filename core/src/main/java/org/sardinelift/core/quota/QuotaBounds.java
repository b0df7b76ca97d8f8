package org.sardinelift.core.quota;

import java.time.Duration;

/**
 * Times of the {@link FleetQuota}.
 *
 * @param silence time without a report after which a peer is taken to spend its part unseen
 * @param newPeerAge age up to which a peer's first report seen here counts in full: nothing of it
 *     can have been counted before
 */
public record QuotaBounds(Duration silenceTimeout, Duration newPeerAge) {}
