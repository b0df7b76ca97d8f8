package org.sardinelift.core.gate;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Queue of waiting calls, served by start-time fair queueing between teams. A team is charged for
 * the expected slot time of its calls, and the charge is corrected once they have ended.
 */
final class FairQueue {
    private static final double NEWEST_COST_WEIGHT = 0.2;
    private static final double INITIAL_COST_MS = 1_000;
    private static final double MIN_COST_MS = 1;

    private final Map<String, Team> teams = new TreeMap<>();
    private double virtualTime;
    private double averageCostMs = INITIAL_COST_MS;
    private int size;

    int size() {
        return size;
    }

    void add(GateCall call) {
        team(call).waiting.addLast(call);
        size++;
    }

    /** Adds a preempted call ahead of the other calls of its team. */
    void addFirst(GateCall call) {
        team(call).waiting.addFirst(call);
        size++;
    }

    /** Removes and returns the next of the allowed calls, and charges it to its team. */
    Optional<ChargedCall> poll(Predicate<GateCall> allowed) {
        Team best = null;
        GateCall call = null;
        for (Team team : teams.values()) {
            if (best == null || team.startTag < best.startTag) {
                GateCall first = team.first(allowed);
                if (first != null) {
                    best = team;
                    call = first;
                }
            }
        }
        if (best == null || call == null) {
            return Optional.empty();
        }
        best.waiting.remove(call);
        size--;
        virtualTime = Math.max(virtualTime, best.startTag);
        double cost = best.expectedCostMs;
        best.startTag += cost / call.weight();
        best.uncorrectedCharge += cost / call.weight();
        best.running++;
        return Optional.of(new ChargedCall(call, cost));
    }

    /** Corrects the charge of a call that has released its slot. */
    void correctCharge(ChargedCall charged, double actualMs) {
        Team team = teams.get(charged.call().team());
        if (team == null) {
            return;
        }
        double cost = Math.max(MIN_COST_MS, actualMs);
        team.startTag += (cost - charged.costMs()) / charged.call().weight();
        team.expectedCostMs += NEWEST_COST_WEIGHT * (cost - team.expectedCostMs);
        team.uncorrectedCharge -= charged.costMs() / charged.call().weight();
        averageCostMs += NEWEST_COST_WEIGHT * (cost - averageCostMs);
        team.running--;
        removeIdleTeams();
    }

    /**
     * Removes and returns the newest call of the team with the most waiting calls relative to its
     * weight.
     */
    Optional<GateCall> removeFromLongest() {
        return teams.values().stream()
                .filter(team -> !team.waiting.isEmpty())
                .max(Comparator.comparingDouble(Team::backlog))
                .map(
                        team -> {
                            size--;
                            return team.waiting.removeLast();
                        });
    }

    Optional<GateCall> remove(String id) {
        return removeAll(call -> call.id().equals(id), call -> {});
    }

    /** Removes all matching calls and returns the last of them. */
    Optional<GateCall> removeAll(Predicate<GateCall> matches, Consumer<GateCall> onRemoved) {
        GateCall last = null;
        for (Team team : teams.values()) {
            for (Iterator<GateCall> calls = team.waiting.iterator(); calls.hasNext(); ) {
                GateCall call = calls.next();
                if (matches.test(call)) {
                    calls.remove();
                    size--;
                    last = call;
                    onRemoved.accept(call);
                }
            }
        }
        return Optional.ofNullable(last);
    }

    private Team team(GateCall call) {
        Team team = teams.computeIfAbsent(call.team(), name -> new Team(averageCostMs));
        if (team.waiting.isEmpty()) {
            team.startTag = Math.max(team.startTag, minCorrectedTag());
        }
        team.weight = call.weight();
        return team;
    }

    /**
     * Start tag of a team that had no waiting calls: that of the teams that wait, so that idle time
     * earns no credit.
     */
    private double minCorrectedTag() {
        return teams.values().stream()
                .filter(team -> !team.waiting.isEmpty())
                .mapToDouble(team -> team.startTag - team.uncorrectedCharge)
                .min()
                .orElse(virtualTime);
    }

    private void removeIdleTeams() {
        teams.values()
                .removeIf(
                        team ->
                                team.waiting.isEmpty()
                                        && team.running == 0
                                        && team.startTag <= virtualTime);
    }

    /**
     * A call that was started.
     *
     * @param call the call
     * @param costMs slot time that its team was charged
     */
    record ChargedCall(GateCall call, double costMs) {}

    private static final class Team {
        private final ArrayDeque<GateCall> waiting = new ArrayDeque<>();
        private double startTag;
        private double uncorrectedCharge;
        private double expectedCostMs;
        private int weight = 1;
        private int running;

        Team(double expectedCostMs) {
            this.expectedCostMs = expectedCostMs;
        }

        double backlog() {
            return (double) waiting.size() / weight;
        }

        @Nullable GateCall first(Predicate<GateCall> allowed) {
            for (GateCall call : waiting) {
                if (allowed.test(call)) {
                    return call;
                }
            }
            return null;
        }
    }
}
