package org.sardinelift.core.batch;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Queue of the batch items that wait on one entry. Teams are served by weight, a team's jobs by
 * deadline, and a job's items in input order, grouped by shared prefix.
 *
 * @param <T> type of item
 */
public final class BatchScheduler<T> {
    private final Map<String, Team<T>> teams = new HashMap<>();
    private double currentServed;
    private int waitingCount;

    private BatchScheduler() {}

    /**
     * Creates a scheduler without items.
     *
     * @param <T> type of item
     * @return the scheduler
     */
    public static <T> BatchScheduler<T> create() {
        return new BatchScheduler<>();
    }

    /**
     * Adds an item.
     *
     * @param team team of the item
     * @param weight the team's share of batch work
     * @param job job of the item
     * @param deadlineMs when the job is due, epoch milliseconds, {@link Long#MAX_VALUE} for never
     * @param lane the same for items of the job that need the same kind of slot, so that either all
     *     or none of them can start
     * @param group the same for items to run one after another, such as those with a shared prefix
     * @param item the item
     */
    public void add(
            String team,
            int weight,
            String job,
            long deadlineMs,
            String lane,
            String group,
            T item) {
        Team<T> owner = teams.computeIfAbsent(team, name -> new Team<>(currentServed));
        owner.weight = Math.max(1, weight);
        owner.jobs.computeIfAbsent(job, name -> new Job<>(deadlineMs)).add(lane, group, item);
        waitingCount++;
    }

    /**
     * Removes the next item that can start now.
     *
     * @param canStart whether an item can start now
     * @return the item, or empty if none can start
     */
    public Optional<T> dequeue(Predicate<T> canStart) {
        Optional<Team<T>> chosen =
                teams.values().stream()
                        .filter(team -> team.nextJob(canStart).isPresent())
                        .min(Comparator.comparingDouble(team -> team.served));
        return chosen.map(
                team -> {
                    currentServed = team.served;
                    team.served += 1.0 / team.weight;
                    waitingCount--;
                    T item = team.dequeue(canStart);
                    teams.values().removeIf(other -> other.jobs.isEmpty());
                    return item;
                });
    }

    /**
     * Removes the waiting items of a job.
     *
     * @param team team of the job
     * @param job the job
     */
    public void removeJob(String team, String job) {
        Team<T> owner = teams.get(team);
        if (owner != null) {
            Job<T> removed = owner.jobs.remove(job);
            waitingCount -= removed == null ? 0 : removed.size();
            if (owner.jobs.isEmpty()) {
                teams.remove(team);
            }
        }
    }

    /**
     * Counts the waiting items by lane and team.
     *
     * @return counts above zero, by lane and then by team
     */
    public Map<String, Map<String, Integer>> waitingByLane() {
        Map<String, Map<String, Integer>> waitingByLane = new HashMap<>();
        teams.forEach(
                (team, owner) ->
                        owner.jobs.values().forEach(job -> job.addTo(waitingByLane, team)));
        return waitingByLane;
    }

    /**
     * Counts the waiting items.
     *
     * @return number of items
     */
    public int waitingCount() {
        return waitingCount;
    }

    private static final class Team<T> {
        private final Map<String, Job<T>> jobs = new LinkedHashMap<>();
        private double served;
        private int weight = 1;

        Team(double served) {
            this.served = served;
        }

        Optional<Job<T>> nextJob(Predicate<T> canStart) {
            return jobs.values().stream()
                    .filter(job -> job.startableLane(canStart).isPresent())
                    .min(Comparator.comparingLong(job -> job.deadlineMs));
        }

        T dequeue(Predicate<T> canStart) {
            Job<T> job = nextJob(canStart).orElseThrow();
            T item = job.dequeue(canStart);
            jobs.values().removeIf(other -> other.size() == 0);
            return item;
        }
    }

    private static final class Job<T> {
        private final Map<String, Lane<T>> lanes = new LinkedHashMap<>();
        private final long deadlineMs;
        private int size;

        Job(long deadlineMs) {
            this.deadlineMs = deadlineMs;
        }

        void add(String lane, String group, T item) {
            lanes.computeIfAbsent(lane, name -> new Lane<>()).add(group, item);
            size++;
        }

        void addTo(Map<String, Map<String, Integer>> waitingByLane, String team) {
            lanes.forEach(
                    (lane, items) ->
                            waitingByLane
                                    .computeIfAbsent(lane, name -> new HashMap<>())
                                    .merge(team, items.size, Integer::sum));
        }

        Optional<String> startableLane(Predicate<T> canStart) {
            return lanes.entrySet().stream()
                    .filter(lane -> canStart.test(lane.getValue().peek()))
                    .findFirst()
                    .map(Map.Entry::getKey);
        }

        T dequeue(Predicate<T> canStart) {
            String name = startableLane(canStart).orElseThrow();
            Lane<T> lane = lanes.get(name);
            T item = lane.dequeue();
            if (lane.groups.isEmpty()) {
                lanes.remove(name);
            }
            size--;
            return item;
        }

        int size() {
            return size;
        }
    }

    private static final class Lane<T> {
        private final Map<String, Deque<T>> groups = new LinkedHashMap<>();
        private int size;

        void add(String group, T item) {
            size++;
            groups.computeIfAbsent(group, name -> new ArrayDeque<>()).add(item);
        }

        T peek() {
            return groups.values().iterator().next().element();
        }

        T dequeue() {
            Map.Entry<String, Deque<T>> group = groups.entrySet().iterator().next();
            size--;
            T item = group.getValue().remove();
            if (group.getValue().isEmpty()) {
                groups.remove(group.getKey());
            }
            return item;
        }
    }
}
