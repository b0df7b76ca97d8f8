package org.sardinelift.objects;

import java.util.Set;

/** Classes of calls, the first goes first. */
enum CallPriority {
    /** Configuration, leases, shares, job states and the list of instances. */
    CONTROL,
    /** Chunks of items, results and what is to be removed. */
    BULK;

    private static final Set<String> BULK_KINDS = Set.of("job-chunk", "job-result", "job-expiry");

    static CallPriority ofKind(String kind) {
        return BULK_KINDS.contains(kind) ? BULK : CONTROL;
    }
}
