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
 * Waiting calls, served by start-time fair queueing over teams: a team is charged for the slot time
 * that its calls are expected to take, and the charge is corrected once they have ended.
 */
final class FairQueue {
    private static final double NEWEST_SHARE = 0.2;
    private static final double FIRST_COST_MS = 1_000;
    private static final double LEAST_COST_MS = 1;

    private final Map<String, Team> teams = new TreeMap<>();
    private double virtualTime;
    private double usualCostMs = FIRST_COST_MS;
    private int size;

    int size() {
        return size;
    }

    void add(GateCall call) {
        team(call).waiting.addLast(call);
        size++;
    }

    /** Puts a call that was cut ahead of its team's others. */
    void addFirst(GateCall call) {
        team(call).waiting.addFirst(call);
        size++;
    }

    /** The call to start next among those allowed; it is charged to its team. */
    Optional<ChargedCall> poll(Predicate<GateCall> allowed) {
        Team best = null;
        GateCall call = null;
        for (Team team : teams.values()) {
            if (best == null || team.tag < best.tag) {
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
        virtualTime = Math.max(virtualTime, best.tag);
        double cost = best.expectedCostMs;
        best.tag += cost / call.weight();
        best.unsettled += cost / call.weight();
        best.running++;
        return Optional.of(new ChargedCall(call, cost));
    }

    /** Corrects the charge of a call that has given its slot back. */
    void correctCharge(ChargedCall charged, double actualMs) {
        Team team = teams.get(charged.call().team());
        if (team == null) {
            return;
        }
        double cost = Math.max(LEAST_COST_MS, actualMs);
        team.tag += (cost - charged.costMs()) / charged.call().weight();
        team.expectedCostMs += NEWEST_SHARE * (cost - team.expectedCostMs);
        team.unsettled -= charged.costMs() / charged.call().weight();
        usualCostMs += NEWEST_SHARE * (cost - usualCostMs);
        team.running--;
        forgetIdle();
    }

    /** Takes the newest call of the team that has most waiting for its weight. */
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

    /** Takes out all calls that fit; returns the last of them. */
    Optional<GateCall> removeAll(Predicate<GateCall> fits, Consumer<GateCall> removed) {
        GateCall last = null;
        for (Team team : teams.values()) {
            for (Iterator<GateCall> calls = team.waiting.iterator(); calls.hasNext(); ) {
                GateCall call = calls.next();
                if (fits.test(call)) {
                    calls.remove();
                    size--;
                    last = call;
                    removed.accept(call);
                }
            }
        }
        return Optional.ofNullable(last);
    }

    private Team team(GateCall call) {
        Team team = teams.computeIfAbsent(call.team(), name -> new Team(usualCostMs));
        if (team.waiting.isEmpty()) {
            team.tag = Math.max(team.tag, leastSettledTag());
        }
        team.weight = call.weight();
        return team;
    }

    /** A team that comes back starts level with those that wait: it saves nothing up. */
    private double leastSettledTag() {
        return teams.values().stream()
                .filter(team -> !team.waiting.isEmpty())
                .mapToDouble(team -> team.tag - team.unsettled)
                .min()
                .orElse(virtualTime);
    }

    private void forgetIdle() {
        teams.values()
                .removeIf(
                        team ->
                                team.waiting.isEmpty()
                                        && team.running == 0
                                        && team.tag <= virtualTime);
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
        private double tag;
        private double unsettled;
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
