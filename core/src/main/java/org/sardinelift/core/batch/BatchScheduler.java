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
 * Orders the items that wait on one entry: teams by weight, a team's jobs by deadline, a job's
 * items by shared prefix in input order.
 *
 * @param <T> type of item
 */
public final class BatchScheduler<T> {
    private final Map<String, Team<T>> teams = new HashMap<>();
    private double served;
    private int waitingCount;

    private BatchScheduler() {}

    /**
     * Makes a scheduler without items.
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
     * @param team its team
     * @param weight the team's share of batch work
     * @param job its job
     * @param deadlineMs when the job is due, epoch milliseconds, {@link Long#MAX_VALUE} for never
     * @param lane equal for items of the job that can start or not start alike
     * @param group equal for items that go together, such as those with a shared prefix
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
        Team<T> owner = teams.computeIfAbsent(team, name -> new Team<>(served));
        owner.weight = Math.max(1, weight);
        owner.jobs.computeIfAbsent(job, name -> new Job<>(deadlineMs)).add(lane, group, item);
        waitingCount++;
    }

    /**
     * Takes the next item that can start.
     *
     * @param startable whether an item can start now
     * @return the item, or empty where none can start
     */
    public Optional<T> dequeue(Predicate<T> startable) {
        Optional<Team<T>> chosen =
                teams.values().stream()
                        .filter(team -> team.head(startable).isPresent())
                        .min(Comparator.comparingDouble(team -> team.served));
        return chosen.map(
                team -> {
                    served = team.served;
                    team.served += 1.0 / team.weight;
                    waitingCount--;
                    T item = team.take(startable);
                    teams.values().removeIf(other -> other.jobs.isEmpty());
                    return item;
                });
    }

    /**
     * Drops the waiting items of a job.
     *
     * @param team its team
     * @param job the job
     */
    public void removeJob(String team, String job) {
        Team<T> owner = teams.get(team);
        if (owner != null) {
            Job<T> dropped = owner.jobs.remove(job);
            waitingCount -= dropped == null ? 0 : dropped.size();
            if (owner.jobs.isEmpty()) {
                teams.remove(team);
            }
        }
    }

    /**
     * Items that wait, by lane and team.
     *
     * @return numbers above zero
     */
    public Map<String, Map<String, Integer>> waitingByLane() {
        Map<String, Map<String, Integer>> waitingByLane = new HashMap<>();
        teams.forEach(
                (team, owner) ->
                        owner.jobs.values().forEach(job -> job.addTo(waitingByLane, team)));
        return waitingByLane;
    }

    /**
     * Items that wait.
     *
     * @return their number
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

        Optional<Job<T>> head(Predicate<T> startable) {
            return jobs.values().stream()
                    .filter(job -> job.startable(startable).isPresent())
                    .min(Comparator.comparingLong(job -> job.deadlineMs));
        }

        T take(Predicate<T> startable) {
            Job<T> job = head(startable).orElseThrow();
            T item = job.take(startable);
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

        Optional<String> startable(Predicate<T> startable) {
            return lanes.entrySet().stream()
                    .filter(lane -> startable.test(lane.getValue().peek()))
                    .findFirst()
                    .map(Map.Entry::getKey);
        }

        T take(Predicate<T> startable) {
            String name = startable(startable).orElseThrow();
            Lane<T> lane = lanes.get(name);
            T item = lane.take();
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

        T take() {
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
