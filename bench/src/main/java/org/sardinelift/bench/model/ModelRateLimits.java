package org.sardinelift.bench.model;

import java.time.Duration;
import java.util.Map;
import java.util.stream.Collectors;
import org.sardinelift.core.plan.RateLimit;
import org.sardinelift.core.quota.AdmittedCount;
import org.sardinelift.core.quota.FleetQuota;
import org.sardinelift.core.quota.QuotaBounds;

/** What one simulated instance knows of the requests to targets that limit their rate. */
final class ModelRateLimits {
    /** Every request is reported here, so no peer becomes silent. */
    private static final QuotaBounds BOUNDS =
            new QuotaBounds(Duration.ofHours(1), Duration.ofHours(1));

    private final FleetQuota quota = FleetQuota.create(BOUNDS, 0);
    private final Map<String, RateLimit> limits;

    private ModelRateLimits(Map<String, RateLimit> limits) {
        this.limits = limits;
        limits.values().forEach(limit -> quota.setLimit(limit, 0));
    }

    static ModelRateLimits of(Map<String, RateLimit> limits) {
        return new ModelRateLimits(limits);
    }

    boolean isLimited(String target) {
        return limits.containsKey(target);
    }

    long nanosUntilRequest(String target, long now) {
        return quota.nanosUntilAdmission(target, now);
    }

    void onRequest(String target, long now) {
        quota.admit(target, now);
    }

    /** Returns the requests of this instance, for its reports. */
    Map<String, AdmittedCount> counts() {
        return quota.admittedCounts().entrySet().stream()
                .collect(
                        Collectors.toMap(
                                Map.Entry::getKey, each -> new AdmittedCount(each.getValue(), 0)));
    }

    void onReport(String instance, Map<String, AdmittedCount> counts, long now) {
        quota.onReport(instance, 1, 0, counts, now);
    }
}
