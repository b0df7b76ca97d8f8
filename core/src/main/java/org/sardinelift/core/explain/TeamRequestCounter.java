package org.sardinelift.core.explain;

import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/** Counts the requests of each team at one instance. Thread-safe. */
public final class TeamRequestCounter {
    /** Time over which a rate is computed, seconds. */
    public static final int WINDOW_SECONDS = 10;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final Map<String, Counts> teams = new ConcurrentHashMap<>();

    private TeamRequestCounter() {}

    /**
     * Creates a counter without requests.
     *
     * @return the counter
     */
    public static TeamRequestCounter create() {
        return new TeamRequestCounter();
    }

    /**
     * Request counts of a team.
     *
     * @param admitted requests admitted since the start
     * @param refused requests refused since the start
     * @param perSecond requests admitted a second, over the last {@link #WINDOW_SECONDS} whole
     *     seconds
     */
    public record Traffic(long admitted, long refused, double perSecond) {}

    /**
     * A request was admitted.
     *
     * @param team team of the request
     * @param nowNanos current time, monotonic, nanoseconds
     */
    public void onAdmitted(String team, long nowNanos) {
        counts(team).admit(Math.floorDiv(nowNanos, NANOS_PER_SECOND));
    }

    /**
     * A request was refused.
     *
     * @param team team of the request
     */
    public void onRefused(String team) {
        counts(team).refuse();
    }

    /**
     * Removes the counts of teams that no longer exist.
     *
     * @param existing names of the existing teams
     */
    public void retainTeams(Set<String> existing) {
        teams.keySet().retainAll(existing);
    }

    /**
     * Returns the counts of each team that had requests.
     *
     * @param nowNanos current time, monotonic, nanoseconds
     * @return counts by team
     */
    public Map<String, Traffic> traffic(long nowNanos) {
        long second = Math.floorDiv(nowNanos, NANOS_PER_SECOND);
        return teams.entrySet().stream()
                .collect(
                        Collectors.toMap(
                                Map.Entry::getKey,
                                entry -> entry.getValue().traffic(second),
                                (first, other) -> first,
                                TreeMap::new));
    }

    private Counts counts(String team) {
        return teams.computeIfAbsent(team, name -> new Counts());
    }

    /** Requests in total, and in each of the last seconds. */
    private static final class Counts {
        private final long[] bySecond = new long[WINDOW_SECONDS + 1];
        private long newestSecond = Long.MIN_VALUE;
        private long admitted;
        private long refused;

        synchronized void admit(long second) {
            advance(second);
            admitted++;
            bySecond[slot(second)]++;
        }

        synchronized void refuse() {
            refused++;
        }

        synchronized Traffic traffic(long second) {
            advance(second);
            long inWindow = Arrays.stream(bySecond).sum() - bySecond[slot(second)];
            return new Traffic(admitted, refused, (double) inWindow / WINDOW_SECONDS);
        }

        private void advance(long second) {
            if (newestSecond == Long.MIN_VALUE || second - newestSecond > WINDOW_SECONDS) {
                Arrays.fill(bySecond, 0);
                newestSecond = second;
            }
            while (newestSecond < second) {
                newestSecond++;
                bySecond[slot(newestSecond)] = 0;
            }
        }

        private static int slot(long second) {
            return Math.floorMod(second, WINDOW_SECONDS + 1);
        }
    }
}
