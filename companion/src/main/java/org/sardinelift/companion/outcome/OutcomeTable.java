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
 * Outcomes of attempts, limited in time and memory. A query returns "not started" only for an
 * attempt that never arrived, and that attempt is refused from then on. Once an outcome of an
 * entry's attempt has been dropped, that entry gets "unknown" for every attempt not on record. Not
 * thread-safe.
 */
public final class OutcomeTable {
    private final OutcomeBounds limits;
    private final Map<AttemptId, String> running = new HashMap<>();
    private final LinkedHashMap<AttemptId, Ended> ended = new LinkedHashMap<>();
    private final LinkedHashSet<AttemptId> tombstones = new LinkedHashSet<>();
    private final Set<String> entriesWithLostOutcomes = new HashSet<>();
    private boolean hasEveryEntryLostOutcomes;
    private long endedBytes;

    private record Ended(String entry, long bytes, long atMs) {}

    private OutcomeTable(OutcomeBounds limits) {
        this.limits = limits;
    }

    /**
     * Creates an empty table.
     *
     * @param limits its limits
     * @return the table
     */
    public static OutcomeTable create(OutcomeBounds limits) {
        return new OutcomeTable(limits);
    }

    /**
     * Admits an attempt unless it is a duplicate or was declared not started.
     *
     * @param id the attempt
     * @param entry incarnation of the entry that sent it
     * @return whether it may be started; a new one counts as running from now on
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
     * Records the end of an attempt; its outcome is kept.
     *
     * @param id the attempt
     * @param bytes length of its response, bytes
     * @param nowMs time, milliseconds
     * @return attempts whose outcomes were dropped
     */
    public List<AttemptId> recordEnd(AttemptId id, long bytes, long nowMs) {
        String entry = running.remove(id);
        if (entry != null) {
            ended.put(id, new Ended(entry, bytes, nowMs));
            endedBytes += bytes;
        }
        return expire(nowMs);
    }

    /**
     * Removes an attempt whose entry has the complete response and won't query it again.
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
     * Answers an entry's query for the state of an attempt.
     *
     * @param id the attempt
     * @param entry incarnation of the entry
     * @return its state; an attempt reported as not started will never be started
     */
    public RequestState query(AttemptId id, String entry) {
        if (running.containsKey(id)) {
            return RequestState.RUNNING;
        }
        if (ended.containsKey(id)) {
            return RequestState.FINISHED;
        }
        if (hasEveryEntryLostOutcomes || entriesWithLostOutcomes.contains(entry)) {
            return RequestState.UNKNOWN;
        }
        addTombstone(id);
        return RequestState.NOT_STARTED;
    }

    /**
     * Drops outcomes that are past their retention or over the limits.
     *
     * @param nowMs time, milliseconds
     * @return attempts whose outcomes were dropped
     */
    public List<AttemptId> expire(long nowMs) {
        List<AttemptId> dropped = new ArrayList<>();
        Iterator<Map.Entry<AttemptId, Ended>> oldest = ended.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<AttemptId, Ended> next = oldest.next();
            boolean isExpired = nowMs - next.getValue().atMs() >= limits.retention().toMillis();
            if (!isExpired
                    && ended.size() <= limits.maxRecords()
                    && endedBytes <= limits.maxBytes()) {
                break;
            }
            oldest.remove();
            endedBytes -= next.getValue().bytes();
            recordLostOutcome(next.getValue().entry());
            dropped.add(next.getKey());
        }
        return dropped;
    }

    /**
     * Number of ended attempts that their entries have not acknowledged.
     *
     * @return number of attempts
     */
    public int unacknowledgedCount() {
        return ended.size();
    }

    private void addTombstone(AttemptId id) {
        tombstones.add(id);
        if (tombstones.size() > limits.maxTombstones()) {
            // Safe: the connection that could still deliver it was closed before the query came.
            Iterator<AttemptId> oldest = tombstones.iterator();
            oldest.next();
            oldest.remove();
        }
    }

    private void recordLostOutcome(String entry) {
        if (entriesWithLostOutcomes.size() >= limits.maxEntriesWithLostOutcomes()) {
            hasEveryEntryLostOutcomes = true;
            entriesWithLostOutcomes.clear();
        }
        if (!hasEveryEntryLostOutcomes) {
            entriesWithLostOutcomes.add(entry);
        }
    }
}
