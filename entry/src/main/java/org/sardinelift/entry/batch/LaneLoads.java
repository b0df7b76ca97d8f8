package org.sardinelift.entry.batch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import org.sardinelift.core.batch.LaneShares;

/** Running and waiting calls by lane and team, which the leases publish. */
final class LaneLoads {
    private final Map<String, Map<String, Integer>> running = new HashMap<>();

    void onStarted(String lane, String team) {
        running.computeIfAbsent(lane, name -> new HashMap<>()).merge(team, 1, Integer::sum);
    }

    void onEnded(String lane, String team) {
        Map<String, Integer> teams = running.getOrDefault(lane, new HashMap<>());
        teams.computeIfPresent(team, (name, count) -> count > 1 ? count - 1 : null);
        if (teams.isEmpty()) {
            running.remove(lane);
        }
    }

    /** Combines the running calls with the given waiting calls, by lane and team. */
    Map<String, Map<String, LaneShares.Load>> withWaiting(
            Map<String, Map<String, Integer>> waiting) {
        Map<String, Map<String, LaneShares.Load>> loads = new HashMap<>();
        running.forEach(
                (lane, teams) ->
                        teams.forEach(
                                (team, count) ->
                                        teamLoads(loads, lane)
                                                .put(team, new LaneShares.Load(count, 0))));
        waiting.forEach(
                (lane, teams) ->
                        teams.forEach(
                                (team, count) ->
                                        teamLoads(loads, lane)
                                                .compute(
                                                        team,
                                                        (name, load) ->
                                                                new LaneShares.Load(
                                                                        load == null
                                                                                ? 0
                                                                                : load.running(),
                                                                        count))));
        return loads;
    }

    private static Map<String, LaneShares.Load> teamLoads(
            Map<String, Map<String, LaneShares.Load>> loads, String lane) {
        return loads.computeIfAbsent(lane, name -> new HashMap<>());
    }

    static ObjectNode toJson(Map<String, Map<String, LaneShares.Load>> loads) {
        ObjectNode node = BatchJson.newObject();
        loads.forEach(
                (lane, teams) -> {
                    ObjectNode byTeam = node.putObject(lane);
                    teams.forEach(
                            (team, load) ->
                                    byTeam.putArray(team).add(load.running()).add(load.waiting()));
                });
        return node;
    }

    static Map<String, Map<String, LaneShares.Load>> fromJson(JsonNode node) {
        Map<String, Map<String, LaneShares.Load>> loads = new HashMap<>();
        node.properties()
                .forEach(
                        lane ->
                                lane.getValue()
                                        .properties()
                                        .forEach(
                                                team ->
                                                        teamLoads(loads, lane.getKey())
                                                                .put(
                                                                        team.getKey(),
                                                                        load(team.getValue()))));
        return loads;
    }

    private static LaneShares.Load load(JsonNode pair) {
        return new LaneShares.Load(pair.path(0).asInt(), pair.path(1).asInt());
    }
}
