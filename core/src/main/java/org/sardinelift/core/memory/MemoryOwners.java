package org.sardinelift.core.memory;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.sardinelift.core.route.Rendezvous;

/**
 * Which instance may send large requests to a target: the first by rendezvous hash of those that
 * send requests.
 *
 * <p>Instances may know different members for as long as a report takes. An instance therefore uses
 * a target that it owns only once it has owned it, by every list of members that it knew, for
 * longer than that; the former owner has then heard of the change and sends no more. Times are
 * nanoseconds of a monotonic clock. Not thread-safe.
 */
final class MemoryOwners {
    private final long selfHash;
    private final long settleNanos;
    private final Deque<Members> history = new ArrayDeque<>();

    /** By target; kept until the members change. */
    private final Map<String, Boolean> known = new HashMap<>();

    /** Members from one moment until the next entry. */
    private record Members(long[] otherHashes, int listHash, long since) {}

    MemoryOwners(String self, Duration settleTime, long now) {
        this.selfHash = Rendezvous.hash(self);
        this.settleNanos = settleTime.toNanos();
        history.add(new Members(new long[0], 0, now));
    }

    /** Sets the other instances that may send requests. */
    void onMembers(Collection<String> others, long now) {
        long[] hashes = others.stream().mapToLong(Rendezvous::hash).sorted().toArray();
        int listHash = Arrays.hashCode(hashes);
        Members last = history.getLast();
        if (listHash != last.listHash() || hashes.length != last.otherHashes().length) {
            history.add(new Members(hashes, listHash, now));
            known.clear();
        }
        while (history.size() > 1 && now - second().since() >= settleNanos) {
            history.removeFirst();
            known.clear();
        }
    }

    private Members second() {
        Iterator<Members> entries = history.iterator();
        entries.next();
        return entries.next();
    }

    /** Number of other instances. */
    int others() {
        return history.getLast().otherHashes().length;
    }

    /** Whether the members have been known for long enough. */
    boolean isSettled(long now) {
        return now - history.getFirst().since() >= settleNanos;
    }

    /** Whether this instance may send large requests to a target now. */
    boolean isOwner(String target, long now) {
        return isSettled(now) && known.computeIfAbsent(target, this::isFirst);
    }

    private boolean isFirst(String target) {
        long targetHash = Rendezvous.hash(target);
        return history.stream().allMatch(members -> isFirst(members, targetHash));
    }

    private boolean isFirst(Members members, long targetHash) {
        long own = Rendezvous.weight(selfHash, targetHash);
        for (long other : members.otherHashes()) {
            long weight = Rendezvous.weight(other, targetHash);
            if (weight > own || weight == own && other > selfHash) {
                return false;
            }
        }
        return true;
    }
}
