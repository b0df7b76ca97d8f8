package org.sardinelift.companion.outcome;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sardinelift.protocol.generated.RequestState;

/**
 * What became of each attempt, in bounded time and memory. "Not started" is said only of an attempt
 * that never came, and from then on it is refused. An entry that lost the outcome of any attempt is
 * told "unknown" of every attempt that is not on record. Not safe for use by several threads.
 */
public final class OutcomeTable {
    private final OutcomeLimits bounds;
    private final Map<AttemptId, String> running = new HashMap<>();
    private final LinkedHashMap<AttemptId, Ended> ended = new LinkedHashMap<>();
    private final LinkedHashSet<AttemptId> tombstones = new LinkedHashSet<>();
    private final Set<String> forgetful = new HashSet<>();
    private boolean allForgetful;
    private long endedBytes;

    private record Ended(String entry, long bytes, long atMs) {}

    private OutcomeTable(OutcomeLimits bounds) {
        this.bounds = bounds;
    }

    /**
     * Makes an empty table.
     *
     * @param bounds its bounds
     * @return the table
     */
    public static OutcomeTable create(OutcomeLimits bounds) {
        return new OutcomeTable(bounds);
    }

    /**
     * An attempt has come.
     *
     * @param id the attempt
     * @param entry incarnation of the entry that sent it
     * @return whether it may be started; if new, it counts as running from now on
     */
    public Admission admit(AttemptId id, String entry) {
        if (tombstones.contains(id)) {
            return Admission.TOO_LATE;
        }
        if (running.containsKey(id) || ended.containsKey(id)) {
            return Admission.DUPLICATE;
        }
        running.put(id, entry);
        return Admission.NEW;
    }

    /**
     * An attempt has ended; its answer is kept.
     *
     * @param id the attempt
     * @param bytes length of its answer, bytes
     * @param nowMs time, milliseconds
     * @return attempts that are forgotten now
     */
    public List<AttemptId> end(AttemptId id, long bytes, long nowMs) {
        String entry = running.remove(id);
        if (entry != null) {
            ended.put(id, new Ended(entry, bytes, nowMs));
            endedBytes += bytes;
        }
        return expire(nowMs);
    }

    /**
     * The entry has the whole answer and will not ask any more.
     *
     * @param id the attempt
     */
    public void acknowledge(AttemptId id) {
        Ended known = ended.remove(id);
        if (known != null) {
            endedBytes -= known.bytes();
        }
    }

    /**
     * An entry asks what became of an attempt.
     *
     * @param id the attempt
     * @param entry incarnation of the entry
     * @return its state; an attempt that was not started never will be
     */
    public RequestState query(AttemptId id, String entry) {
        if (running.containsKey(id)) {
            return RequestState.RUNNING;
        }
        if (ended.containsKey(id)) {
            return RequestState.FINISHED;
        }
        if (allForgetful || forgetful.contains(entry)) {
            return RequestState.UNKNOWN;
        }
        bury(id);
        return RequestState.NOT_STARTED;
    }

    /**
     * Forgets what is past its time or over the bounds.
     *
     * @param nowMs time, milliseconds
     * @return attempts that are forgotten now
     */
    public List<AttemptId> expire(long nowMs) {
        List<AttemptId> forgotten = new ArrayList<>();
        Iterator<Map.Entry<AttemptId, Ended>> oldest = ended.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<AttemptId, Ended> next = oldest.next();
            boolean late = nowMs - next.getValue().atMs() >= bounds.retention().toMillis();
            if (!late && ended.size() <= bounds.maxRecords() && endedBytes <= bounds.maxBytes()) {
                break;
            }
            oldest.remove();
            endedBytes -= next.getValue().bytes();
            forget(next.getValue().entry());
            forgotten.add(next.getKey());
        }
        return forgotten;
    }

    /**
     * Ended attempts that their entries have not acknowledged.
     *
     * @return their number
     */
    public int unacknowledgedCount() {
        return ended.size();
    }

    private void bury(AttemptId id) {
        tombstones.add(id);
        if (tombstones.size() > bounds.maxTombstones()) {
            // The connection that could still bring the attempt was closed before the query came.
            Iterator<AttemptId> oldest = tombstones.iterator();
            oldest.next();
            oldest.remove();
        }
    }

    private void forget(String entry) {
        if (forgetful.size() >= bounds.maxEntriesWithLostOutcomes()) {
            allForgetful = true;
            forgetful.clear();
        }
        if (!allForgetful) {
            forgetful.add(entry);
        }
    }
}
