package org.sardinelift.core.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Cost of a decision and of an update, printed for the pages. */
class DecisionCostTest {
    private static final int CALLS = 200_000;

    /** Guards against a decision that passes over all teams: 51 times the teams, not the cost. */
    @Test
    void aDecisionCostsAboutTheSameWithManyTeams() {
        decisionNanos(80);
        double few = decisionNanos(80);
        double many = decisionNanos(4_100);
        System.out.printf("decision: %.0f ns with 80 teams, %.0f with 4,100%n", few, many);
        assertTrue(many < 10 * few + 1_000, () -> few + " ns, " + many + " ns");
        for (int peers : new int[] {5, 40, 200, 710}) {
            IntStream.range(0, 20).forEach(i -> updateNanos(peers));
            System.out.printf("update: %.0f us with %d peers%n", updateNanos(peers) / 1e3, peers);
        }
    }

    private static FairAdmission shortage(int teams) {
        FairAdmission admission = FairAdmission.create(Duration.ofMillis(750), team -> 1);
        for (long now = 1; now < 400_000_000L; now += 50_000_000) {
            admission.onSample(teams, teams / 2.0, 1, now);
            for (int i = 0; i < teams; i++) {
                decide(admission, "team" + i, i, now);
            }
        }
        return admission;
    }

    private static ShareDecision decide(FairAdmission admission, String team, long i, long now) {
        return admission.decide(new FairAdmission.Call(team, false, Duration.ofSeconds(1), i), now);
    }

    private static double decisionNanos(int teams) {
        FairAdmission admission = shortage(teams);
        String[] names = IntStream.range(0, teams).mapToObj(i -> "team" + i).toArray(String[]::new);
        long start = System.nanoTime();
        for (int i = 0; i < CALLS; i++) {
            decide(admission, names[i % teams], i, 400_000_000L + i * 1_000L);
        }
        return (double) (System.nanoTime() - start) / CALLS;
    }

    /** Time of an update with 64 teams named by each peer, of 4,100. */
    private static double updateNanos(int peers) {
        FairAdmission admission = shortage(4_100);
        long now = 400_000_000L;
        for (int peer = 0; peer < peers; peer++) {
            Map<String, Double> slots = new HashMap<>();
            for (int i = 0; i < 64; i++) {
                slots.put("team" + (peer * 64 + i) % 4_100, 1.0);
            }
            admission.onReport("g" + peer, new ReportedDemand(slots, 100, 10), now);
        }
        long start = System.nanoTime();
        for (int i = 0; i < 10; i++) {
            admission.onSample(4_100, 2_050, peers + 1, now + i * 100_000_000L);
        }
        return (System.nanoTime() - start) / 10.0;
    }
}
