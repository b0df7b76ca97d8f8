package org.sardinelift.core.gate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against lost calls, free slots or delayed online calls in any order of events, and against
 * a team that gets slots or queue places beyond its weight.
 */
class SlotGatePropertiesTest {

    @Property(seed = "20417", tries = 300)
    void everyInterleavingKeepsTheInvariants(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 9) int slots,
            @ForAll @IntRange(min = 1, max = 12) int queue) {
        Random random = new Random(seed);
        GateModel model =
                new GateModel(
                        new GateSettings(
                                true, slots, queue, queue, 0, 0, slots / 2, 500, 300, 50, 1_000));
        for (int step = 0; step < 300; step++) {
            switch (random.nextInt(6)) {
                case 0, 1 -> model.submit(call(random, "c" + step, model.nowMs));
                case 2 -> model.pickRandom(model.running, random).ifPresent(model::release);
                case 3 ->
                        model.pickRandom(model.running, random)
                                .ifPresent(
                                        id -> model.gate.recordProgress(id, random.nextInt(1_000)));
                case 4 -> model.advanceTime(random.nextInt(40));
                default -> {
                    if (random.nextInt(4) == 0) {
                        model.pickRandom(model.waiting, random).ifPresent(model::release);
                    } else {
                        int lag = random.nextInt(100);
                        model.reportLoad(new EngineLoad(random.nextInt(slots + 3), 0, slots, lag));
                    }
                }
            }
        }
        while (!model.running.isEmpty() || !model.waiting.isEmpty()) {
            model.pickRandom(model.running, random).ifPresent(model::release);
            model.advanceTime(50);
        }
        assertEquals(model.submittedCount, model.endedCount);
    }

    private static GateCall call(Random random, String id, long nowMs) {
        return new GateCall(
                id,
                "team" + random.nextInt(4),
                1 + random.nextInt(3),
                random.nextBoolean(),
                nowMs + 1 + random.nextInt(400),
                random.nextBoolean(),
                random.nextInt(8) == 0);
    }

    @Property(seed = "20418", tries = 12)
    void slotTimeFollowsTheWeightsWhileAllTeamsWait(
            @ForAll long seed,
            @ForAll boolean batch,
            @ForAll @IntRange(min = 2, max = 8) int slots,
            @ForAll @IntRange(min = 1, max = 5) int heavyWeight) {
        Random random = new Random(seed);
        GateModel model =
                new GateModel(
                        new GateSettings(true, slots, 400, 400, 0, 0, 0, 500, 1_000, 50, 1_000));
        Map<String, Integer> weights = Map.of("heavy", heavyWeight, "light", 1, "long", 1);
        Map<String, Long> endsAt = new HashMap<>();
        Map<String, Double> slotTimeByWeight = new HashMap<>();
        int next = 0;
        while (model.nowMs < 20_000) {
            for (String team : weights.keySet()) {
                while (model.waiting.values().stream()
                                .filter(call -> call.team().equals(team))
                                .count()
                        < 10) {
                    String id = team + next++;
                    model.submit(
                            new GateCall(
                                    id, team, weights.get(team), batch, 1_000_000, false, false));
                }
            }
            model.running.forEach(
                    (id, call) -> {
                        slotTimeByWeight.merge(call.team(), 10.0 / call.weight(), Double::sum);
                        long mean = call.team().equals("long") ? 200 : 50;
                        endsAt.computeIfAbsent(
                                id, key -> model.nowMs + mean / 2 + random.nextLong(mean));
                    });
            model.advanceTime(10);
            endsAt.keySet().stream()
                    .filter(id -> endsAt.get(id) <= model.nowMs && model.running.containsKey(id))
                    .toList()
                    .forEach(model::release);
        }
        double max =
                slotTimeByWeight.values().stream().mapToDouble(value -> value).max().orElseThrow();
        double min =
                slotTimeByWeight.values().stream().mapToDouble(value -> value).min().orElseThrow();
        assertTrue(min > 0.85 * max, "slot time over weight: " + slotTimeByWeight);
    }

    @Property(seed = "20419", tries = 50)
    void floodingTeamLosesOnlyItsOwnCalls(@ForAll @IntRange(min = 2, max = 40) int flood) {
        GateModel model =
                new GateModel(new GateSettings(true, 1, 10, 10, 0, 0, 0, 500, 500, 50, 1_000));
        IntStream.range(0, flood).forEach(i -> model.submit(online("flood" + i, "noisy")));
        IntStream.range(0, 4).forEach(i -> model.submit(online("calm" + i, "calm")));
        model.performed.stream()
                .filter(GateAction.Refuse.class::isInstance)
                .forEach(refusal -> assertTrue(refusal.id().startsWith("flood"), refusal.id()));
        for (int done = 0; done < 9 && !model.running.isEmpty(); done++) {
            model.nowMs += 100;
            model.release(model.running.keySet().iterator().next());
        }
        long calmWaiting =
                model.waiting.keySet().stream().filter(id -> id.startsWith("calm")).count();
        assertEquals(0, calmWaiting);
    }

    private static GateCall online(String id, String team) {
        return new GateCall(id, team, 1, false, 1_000_000, false, false);
    }
}
