package org.sardinelift.core.limit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks since when other entries have been missing from the platform's list, and since when
 * incarnations of an instance have been known to be superseded by a newer one. Times are
 * nanoseconds.
 */
final class AbsenceTracker {
    private final Map<String, Long> missingSince = new HashMap<>();
    private final Map<MemberId, Long> supersededSince = new HashMap<>();
    private final String self;
    private final long contactBoundNanos;
    private Set<String> listed = Set.of();
    private long listedAt;
    private long selfMissingSince;
    private boolean isSelfUnlisted;
    private boolean isListKnown;
    private Set<String> connected = Set.of();

    AbsenceTracker(String self, LimitBounds bounds) {
        this.self = self;
        contactBoundNanos = bounds.contactBound().toNanos();
    }

    /**
     * Records the platform's list. After a gap in which the list could not be read, absence times
     * start again, since nothing was seen to be missing in between.
     */
    void onListed(Set<String> instances, long now) {
        if (now - listedAt > contactBoundNanos) {
            missingSince.clear();
        }
        boolean missing = !instances.isEmpty() && !instances.contains(self);
        if (missing && !isSelfUnlisted) {
            selfMissingSince = now;
        }
        isSelfUnlisted = missing;
        isListKnown = true;
        listedAt = now;
        listed = Set.copyOf(instances);
        missingSince.keySet().removeAll(listed);
    }

    /** Records the open connections and returns whether any of them is new. */
    boolean onConnected(Set<String> instances) {
        boolean anyNew = !connected.containsAll(instances);
        connected = Set.copyOf(instances);
        missingSince.keySet().removeAll(connected);
        return anyNew;
    }

    /**
     * Clears the recorded times; called after a pause of this process, during which nothing was
     * observed.
     */
    void clearTimes() {
        missingSince.clear();
        supersededSince.clear();
    }

    /** Updates the times of the members of the shares and drops those of former members. */
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

    /** Whether a member has been missing or superseded for long enough to reclaim its units. */
    boolean isReclaimable(MemberId id, LimitBounds bounds, long now) {
        Long missing = missingSince.get(id.instance());
        Long superseded = supersededSince.get(id);
        boolean isListRecent = now - listedAt <= contactBoundNanos;
        return (isListRecent && missing != null && now - missing >= bounds.reclaimDelay().toNanos())
                || (superseded != null && now - superseded >= bounds.restartDelay().toNanos());
    }

    /** Whether this entry may acquire units: others that read the same list don't reclaim them. */
    boolean mayAcquireUnits() {
        return isListKnown && !isSelfUnlisted;
    }

    boolean isSelfMissing(long now) {
        return isSelfUnlisted && now - selfMissingSince > contactBoundNanos;
    }

    /** Time from which this entry counts as missing, unless the list shows it before. */
    long selfMissingDeadline() {
        return isSelfUnlisted ? selfMissingSince + contactBoundNanos + 1 : Long.MAX_VALUE;
    }

    int listedCount() {
        return listed.size();
    }
}
