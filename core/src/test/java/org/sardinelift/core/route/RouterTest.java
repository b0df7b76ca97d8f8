package org.sardinelift.core.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Calls must stay with their zone, preferred targets and subset, but not on overloaded targets. */
class RouterTest {
    private static final Router ROUTER = Router.of("z0", "e1", 1.25, 1.0, 8);

    @Property(seed = "41")
    void onlyATargetThatMayRunTheCallIsChosen(@ForAll Random random) {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < 1 + random.nextInt(30); i++) {
            candidates.add(
                    new Candidate(
                            "c" + i,
                            random.nextInt(4) == 0 ? "other" : "s",
                            "z" + random.nextInt(3),
                            Set.of("m" + random.nextInt(3)),
                            4,
                            random.nextInt(9),
                            random.nextInt(9),
                            random.nextInt(4) != 0,
                            Ejection.Admission.values()[random.nextInt(3)]));
        }
        Optional<Candidate> chosen =
                ROUTER.choose(candidates, request("m1", "a" + random.nextInt()));
        chosen.ifPresent(
                target -> {
                    assertTrue(target.isUsable());
                    assertEquals("s", target.service());
                    assertTrue(target.canServe("m1"));
                    assertFalse(target.admission() == Ejection.Admission.OUT);
                });
        boolean any =
                candidates.stream()
                        .anyMatch(
                                target ->
                                        target.isUsable()
                                                && target.service().equals("s")
                                                && target.canServe("m1")
                                                && target.admission() != Ejection.Admission.OUT);
        assertEquals(any, chosen.isPresent());
    }

    @Example
    void callsStayInTheZoneUntilItIsOverloaded() {
        List<Candidate> idle = List.of(target("a", "z0", 1), target("b", "z1", 0));
        List<Candidate> overloaded = List.of(target("a", "z0", 9), target("b", "z1", 0));
        assertEquals("a", ROUTER.choose(idle, request("m", "x")).orElseThrow().name());
        assertEquals("b", ROUTER.choose(overloaded, request("m", "x")).orElseThrow().name());
    }

    /**
     * A call that probes a target of another zone is lost with that zone, and slower until then.
     */
    @Example
    void aTargetOfAnotherZoneIsProbedOnlyByCallsThatLeaveTheZone() {
        Candidate remote = inAdmission(target("b", "z1", 0), Ejection.Admission.PROBE);
        List<Candidate> idle = List.of(target("a", "z0", 1), remote);
        List<Candidate> overloaded = List.of(target("a", "z0", 9), remote);
        List<Candidate> without =
                List.of(inAdmission(target("a", "z0", 1), Ejection.Admission.OUT), remote);

        assertEquals("a", ROUTER.choose(idle, request("m", "x")).orElseThrow().name());
        assertEquals("b", ROUTER.choose(overloaded, request("m", "x")).orElseThrow().name());
        assertEquals("b", ROUTER.choose(without, request("m", "x")).orElseThrow().name());
    }

    private static Candidate inAdmission(Candidate from, Ejection.Admission admission) {
        return new Candidate(
                from.name(),
                from.service(),
                from.zone(),
                from.models(),
                from.slots(),
                from.inFlight(),
                from.reportedCalls(),
                from.isUsable(),
                admission);
    }

    @Property(seed = "42")
    void anOverloadedPreferredTargetIsNotChosen(@ForAll Random random) {
        String key = "p" + random.nextLong();
        List<Candidate> even = targets(6, "", 0);
        String preferred = ROUTER.choose(even, request("m", key)).orElseThrow().name();
        List<Candidate> loaded = targets(6, preferred, 4);
        assertFalse(
                preferred.equals(ROUTER.choose(loaded, request("m", key)).orElseThrow().name()));
    }

    @Property(seed = "43")
    void twoOverloadedPreferredTargetsAreNotChosen(@ForAll Random random) {
        String key = "p" + random.nextLong();
        List<Candidate> targets = new ArrayList<>(targets(6, "", 0));
        Set<String> preferred = new HashSet<>();
        for (int rank = 0; rank < 2; rank++) {
            String name = ROUTER.choose(targets, request("m", key)).orElseThrow().name();
            preferred.add(name);
            targets.removeIf(target -> target.name().equals(name));
            targets.add(target(name, "z0", 4));
        }
        assertFalse(
                preferred.contains(ROUTER.choose(targets, request("m", key)).orElseThrow().name()));
    }

    @Example
    void manyTargetsAreUsedAsAStableSubset() {
        Set<String> used = new HashSet<>();
        List<Candidate> many = targets(200, "", 0);
        for (int call = 0; call < 2_000; call++) {
            used.add(ROUTER.choose(many, request("m", "k" + call)).orElseThrow().name());
        }
        assertEquals(8, used.size());
        List<Candidate> without = new ArrayList<>(many);
        without.removeIf(candidate -> candidate.name().equals(used.iterator().next()));
        Set<String> after = new HashSet<>();
        for (int call = 0; call < 2_000; call++) {
            after.add(ROUTER.choose(without, request("m", "k" + call)).orElseThrow().name());
        }
        after.removeAll(used);
        assertEquals(1, after.size(), "one target left, one came in its place");
    }

    private static List<Candidate> targets(int count, String loadedName, int load) {
        List<Candidate> targets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String name = "t" + i;
            targets.add(target(name, "z0", name.equals(loadedName) ? load : 0));
        }
        return targets;
    }

    private static Candidate target(String name, String zone, int load) {
        return new Candidate(name, "s", zone, Set.of("m"), 4, load, 0, true, Ejection.Admission.IN);
    }

    private static RouteRequest request(String model, String affinityKey) {
        return new RouteRequest("s", model, affinityKey, Set.of(), false);
    }
}
