package org.sardinelift.core.explain;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.stream.Stream;

/**
 * Log of the latest decisions of an instance; the oldest are dropped. Decisions about single calls
 * are bounded separately, so that traffic doesn't displace those about jobs, targets and the
 * configuration. Thread-safe.
 */
public final class DecisionLog {
    private final Ring calls;
    private final Ring others;

    private DecisionLog(int capacity) {
        this.calls = new Ring(capacity);
        this.others = new Ring(capacity);
    }

    /**
     * Creates an empty log.
     *
     * @param capacity number of decisions about single calls that are kept, and of others
     * @return the log
     */
    public static DecisionLog of(int capacity) {
        return new DecisionLog(capacity);
    }

    /**
     * Adds a decision.
     *
     * @param record the decision
     */
    public void add(DecisionRecord record) {
        (record.action().isAboutCall() ? calls : others).add(record);
    }

    /**
     * Finds decisions, oldest first.
     *
     * @param names names of a request, job, target or team; empty for all decisions
     * @param limit most decisions to return; the newest are returned
     * @return the decisions
     */
    public List<DecisionRecord> find(Collection<String> names, int limit) {
        List<DecisionRecord> found =
                Stream.concat(others.copy().stream(), calls.copy().stream())
                        .filter(record -> names.isEmpty() || record.concerns(names))
                        .sorted(Comparator.comparingLong(DecisionRecord::timeMs))
                        .toList();
        return found.subList(Math.max(0, found.size() - limit), found.size());
    }

    /**
     * Ring buffer of decisions; copied before it is searched, so that a search delays no traffic.
     */
    private static final class Ring {
        private final int capacity;
        private final Deque<DecisionRecord> records = new ArrayDeque<>();

        Ring(int capacity) {
            this.capacity = capacity;
        }

        synchronized void add(DecisionRecord record) {
            if (records.size() == capacity) {
                records.removeFirst();
            }
            records.addLast(record);
        }

        synchronized List<DecisionRecord> copy() {
            return new ArrayList<>(records);
        }
    }
}
