package org.sardinelift.objects;

import java.util.Set;

/** Priorities of calls, highest first. */
enum CallPriority {
    /** Configuration, leases, shares, job states, watches and the list of instances. */
    CONTROL,
    /** Chunks of items, results and records of what to remove. */
    BULK;

    private static final Set<String> BULK_KINDS = Set.of("job-chunk", "job-result", "job-expiry");

    static CallPriority ofKind(String kind) {
        return BULK_KINDS.contains(kind) ? BULK : CONTROL;
    }
}
