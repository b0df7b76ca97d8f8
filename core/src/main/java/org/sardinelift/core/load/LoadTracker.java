package org.sardinelift.core.load;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Tracks the calls on each target, from this instance's own calls, the reports of the other
 * instances and the load that targets state in their answers.
 *
 * <p>Several instances send calls to the same targets without a common queue. Each reports the
 * start and end of a call at once, so that the others know of it after the delay of one message.
 * Times are nanoseconds of a monotonic clock. Not thread-safe.
 */
public final class LoadTracker {
    private final long reportExpiryNanos;
    private final long excessExpiryNanos;
    private final Map<String, TargetCalls> own = new HashMap<>();
    private final Map<String, Report> reports = new HashMap<>();
    private final Map<String, Excess> excesses = new HashMap<>();
    private final Map<String, TargetCalls> otherCalls = new HashMap<>();

    private LoadTracker(Duration reportExpiry, Duration excessExpiry) {
        this.reportExpiryNanos = reportExpiry.toNanos();
        this.excessExpiryNanos = excessExpiry.toNanos();
    }

    /**
     * Creates a tracker without calls.
     *
     * @param reportExpiry time after which the last report of a silent instance is ignored
     * @param excessExpiry time for which calls are counted that a target states in excess of the
     *     known ones
     * @return the tracker
     */
    public static LoadTracker create(Duration reportExpiry, Duration excessExpiry) {
        return new LoadTracker(reportExpiry, excessExpiry);
    }

    /**
     * Calls of this instance were sent to a target or ended there.
     *
     * @param target the target
     * @param change calls added, negative where they ended
     */
    public void onOwnCallsChanged(String target, TargetCalls change) {
        TargetCalls after = ownCalls(target).plus(change);
        if (after.total() == 0) {
            own.remove(target);
        } else {
            own.put(target, after);
        }
    }

    /**
     * Returns this instance's calls, for the reports to the other instances.
     *
     * @return calls by target, without targets that have none
     */
    public Map<String, TargetCalls> ownCallsByTarget() {
        return own;
    }

    /**
     * Returns this instance's calls on a target.
     *
     * @param target the target
     * @return the calls
     */
    public TargetCalls ownCalls(String target) {
        return own.getOrDefault(target, TargetCalls.NONE);
    }

    /**
     * Another instance reported all its calls.
     *
     * @param instance name of the instance
     * @param calls its calls by target
     * @param now the time
     */
    public void onReport(String instance, Map<String, TargetCalls> calls, long now) {
        reports.put(instance, new Report(Map.copyOf(calls), now));
        sum(now);
    }

    /**
     * Removes the reports of instances that have been silent for too long.
     *
     * @param now the time
     */
    public void expire(long now) {
        if (reports.values().removeIf(report -> now - report.at() >= reportExpiryNanos)) {
            sum(now);
        }
    }

    private void sum(long now) {
        otherCalls.clear();
        reports.values().stream()
                .filter(report -> now - report.at() < reportExpiryNanos)
                .flatMap(report -> report.calls().entrySet().stream())
                .forEach(
                        entry ->
                                otherCalls.merge(
                                        entry.getKey(), entry.getValue(), TargetCalls::plus));
    }

    /**
     * A target stated its load in an answer.
     *
     * @param target the target
     * @param calls number of calls that it runs or queues
     * @param now the time
     */
    public void onTargetLoad(String target, int calls, long now) {
        int known =
                ownCalls(target).plus(otherCalls.getOrDefault(target, TargetCalls.NONE)).total();
        Excess before = excesses.get(target);
        int excess = Math.max(0, calls - known);
        // A single excess may be a call whose report is still on its way; it must be seen twice.
        int confirmed =
                before == null || now - before.at() >= excessExpiryNanos
                        ? 0
                        : Math.min(excess, before.latest());
        excesses.put(target, new Excess(excess, confirmed, now));
    }

    /**
     * Returns the calls of all instances on a target, as far as they are known.
     *
     * @param target the target
     * @param now the time
     * @return batch items and online calls, including calls that only the target stated
     */
    public TargetCalls knownCalls(String target, long now) {
        Excess excess = excesses.get(target);
        int unreported =
                excess == null || now - excess.at() >= excessExpiryNanos ? 0 : excess.confirmed();
        return ownCalls(target)
                .plus(otherCalls.getOrDefault(target, TargetCalls.NONE))
                .plus(new TargetCalls(unreported, 0));
    }

    /**
     * Returns the batch items on a target by the instance that started them, without this
     * instance's own.
     *
     * @param target the target
     * @return number of items by name of the instance
     */
    public Map<String, Integer> batchItemsByInstance(String target) {
        return reports.entrySet().stream()
                .filter(report -> report.getValue().batch(target) > 0)
                .collect(
                        Collectors.toMap(
                                Map.Entry::getKey, report -> report.getValue().batch(target)));
    }

    private record Report(Map<String, TargetCalls> calls, long at) {
        int batch(String target) {
            return calls.getOrDefault(target, TargetCalls.NONE).batch();
        }
    }

    private record Excess(int latest, int confirmed, long at) {}
}
