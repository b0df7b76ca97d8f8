package org.sardinelift.core.load;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * How many calls each target has, from this instance's own calls, the reports of the other
 * instances and the load that targets state in their answers.
 *
 * <p>Load answered: several instances fill the same targets without a common queue. Each reports a
 * start or end at once, so that the others know of it within the time of one message. Times are
 * nanoseconds of a monotonic clock. Not safe for use by several threads at once.
 */
public final class LoadTracker {
    private final long reportLifeNanos;
    private final long foreignLifeNanos;
    private final Map<String, TargetCalls> own = new HashMap<>();
    private final Map<String, Report> reports = new HashMap<>();
    private final Map<String, Foreign> foreign = new HashMap<>();
    private final Map<String, TargetCalls> others = new HashMap<>();

    private LoadTracker(Duration reportLife, Duration foreignLife) {
        this.reportLifeNanos = reportLife.toNanos();
        this.foreignLifeNanos = foreignLife.toNanos();
    }

    /**
     * An empty board.
     *
     * @param reportLife time after which the report of a silent instance counts no more
     * @param foreignLife time for which a load counts that a target states beyond the known calls
     * @return the board
     */
    public static LoadTracker create(Duration reportLife, Duration foreignLife) {
        return new LoadTracker(reportLife, foreignLife);
    }

    /**
     * A call of this instance was sent to a target, or has left it.
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
     * Calls of this instance, for the reports to others.
     *
     * @return uses by target, none that is empty
     */
    public Map<String, TargetCalls> ownCallsByTarget() {
        return own;
    }

    /**
     * Calls of this instance on a target.
     *
     * @param target the target
     * @return its use
     */
    public TargetCalls ownCalls(String target) {
        return own.getOrDefault(target, TargetCalls.NONE);
    }

    /**
     * Another instance reports all its uses.
     *
     * @param instance its name
     * @param uses its calls by target
     * @param now the time
     */
    public void onReport(String instance, Map<String, TargetCalls> uses, long now) {
        reports.put(instance, new Report(Map.copyOf(uses), now));
        sum(now);
    }

    /**
     * Drops reports of instances that have been silent for long.
     *
     * @param now the time
     */
    public void expire(long now) {
        if (reports.values().removeIf(report -> now - report.at() >= reportLifeNanos)) {
            sum(now);
        }
    }

    private void sum(long now) {
        others.clear();
        reports.values().stream()
                .filter(report -> now - report.at() < reportLifeNanos)
                .flatMap(report -> report.uses().entrySet().stream())
                .forEach(use -> others.merge(use.getKey(), use.getValue(), TargetCalls::plus));
    }

    /**
     * A target states its load with an answer.
     *
     * @param target the target
     * @param calls calls that it runs or queues
     * @param now the time
     */
    public void onTargetLoad(String target, int calls, long now) {
        int known = ownCalls(target).plus(others.getOrDefault(target, TargetCalls.NONE)).total();
        Foreign before = foreign.get(target);
        int unknown = Math.max(0, calls - known);
        // One statement alone may cross a report on its way; two in a row are no chance.
        int confirmed =
                before == null || now - before.at() >= foreignLifeNanos
                        ? 0
                        : Math.min(unknown, before.seen());
        foreign.put(target, new Foreign(unknown, confirmed, now));
    }

    /**
     * All calls on a target as far as they are known.
     *
     * @param target the target
     * @param now the time
     * @return online calls, with those that nobody reported, and batch items
     */
    public TargetCalls knownCalls(String target, long now) {
        Foreign seen = foreign.get(target);
        int unknown = seen == null || now - seen.at() >= foreignLifeNanos ? 0 : seen.confirmed();
        return ownCalls(target)
                .plus(others.getOrDefault(target, TargetCalls.NONE))
                .plus(new TargetCalls(unknown, 0));
    }

    /**
     * Batch items on a target by the instance that runs them, this instance not among them.
     *
     * @param target the target
     * @return items by instance
     */
    public Map<String, Integer> batchItemsByInstance(String target) {
        return reports.entrySet().stream()
                .filter(report -> report.getValue().batch(target) > 0)
                .collect(
                        Collectors.toMap(
                                Map.Entry::getKey, report -> report.getValue().batch(target)));
    }

    private record Report(Map<String, TargetCalls> uses, long at) {
        int batch(String target) {
            return uses.getOrDefault(target, TargetCalls.NONE).batch();
        }
    }

    private record Foreign(int seen, int confirmed, long at) {}
}
