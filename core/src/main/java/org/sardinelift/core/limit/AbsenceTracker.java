package org.sardinelift.core.limit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Since when other entries are missing from the platform's list, and since when lives of an
 * instance are known to be replaced by a newer one. Times are nanoseconds.
 */
final class AbsenceTracker {
    private final Map<String, Long> missingSince = new HashMap<>();
    private final Map<MemberId, Long> supersededSince = new HashMap<>();
    private final String self;
    private final long contactBoundNanos;
    private Set<String> listed = Set.of();
    private long listedAt;
    private long selfMissingSince;
    private boolean selfMissing;
    private boolean listKnown;
    private Set<String> connected = Set.of();

    AbsenceTracker(String self, LimitBounds bounds) {
        this.self = self;
        contactBoundNanos = bounds.contactBound().toNanos();
    }

    /** While the list couldn't be read nothing was missing: the time starts anew after a gap. */
    void onListed(Set<String> instances, long now) {
        if (now - listedAt > contactBoundNanos) {
            missingSince.clear();
        }
        boolean missing = !instances.isEmpty() && !instances.contains(self);
        if (missing && !selfMissing) {
            selfMissingSince = now;
        }
        selfMissing = missing;
        listKnown = true;
        listedAt = now;
        listed = Set.copyOf(instances);
        missingSince.keySet().removeAll(listed);
    }

    /** Notes the open connections; whether any is new. */
    boolean onConnected(Set<String> instances) {
        boolean anyNew = !connected.containsAll(instances);
        connected = Set.copyOf(instances);
        missingSince.keySet().removeAll(connected);
        return anyNew;
    }

    /** Forgets every time; called after a pause, in which nothing was seen. */
    void clearTimes() {
        missingSince.clear();
        supersededSince.clear();
    }

    void update(Shares shares, long now) {
        Set<String> present = new HashSet<>();
        for (MemberId id : shares.members().keySet()) {
            present.add(id.instance());
            if (listed.contains(self)
                    && !listed.contains(id.instance())
                    && !connected.contains(id.instance())) {
                missingSince.putIfAbsent(id.instance(), now);
            }
            if (shares.isSuperseded(id)) {
                supersededSince.putIfAbsent(id, now);
            }
        }
        missingSince.keySet().retainAll(present);
        supersededSince.keySet().retainAll(shares.members().keySet());
    }

    boolean isReclaimable(MemberId id, LimitBounds bounds, long now) {
        Long missing = missingSince.get(id.instance());
        Long superseded = supersededSince.get(id);
        boolean fresh = now - listedAt <= contactBoundNanos;
        return (fresh && missing != null && now - missing >= bounds.reclaimDelay().toNanos())
                || (superseded != null && now - superseded >= bounds.restartDelay().toNanos());
    }

    /** Whether others that read the same list would leave this entry its units. */
    boolean mayAcquireUnits() {
        return listKnown && !selfMissing;
    }

    boolean isSelfMissing(long now) {
        return selfMissing && now - selfMissingSince > contactBoundNanos;
    }

    /** When this entry will have been missing for too long, unless the list shows it before. */
    long selfMissingDeadline() {
        return selfMissing ? selfMissingSince + contactBoundNanos + 1 : Long.MAX_VALUE;
    }

    int listedCount() {
        return listed.size();
    }
}
