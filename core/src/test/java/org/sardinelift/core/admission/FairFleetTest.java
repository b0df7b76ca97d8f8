package org.sardinelift.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardinelift.core.admission.FairFleet.Setup;

/** Shares of teams over a fleet of gateways, in virtual time. */
class FairFleetTest {
    private static final double WORST = 0.95;
    private static final double TWICE = 0.1;
    private static final double TENTH = 0.5;
    private static final double UTILIZATION_LOSS = 0.02;

    private static void check(Setup setup) {
        FairFleet fair = run(setup);
        FairFleet today = run(withoutShares(setup));
        Map<String, Double> figures = FairFleet.describe(fair);
        System.out.println(
                setup.gateways() + " " + figures + " today " + FairFleet.describe(today));
        assertTrue(figures.get("worst") >= WORST, () -> "worst-served team " + figures);
        assertTrue(figures.get("twice") <= TWICE, () -> "refused twice " + figures);
        assertTrue(figures.get("tenth") >= TENTH, () -> "largest tenth " + figures);
        assertTrue(
                fair.utilization() >= today.utilization() - UTILIZATION_LOSS,
                () -> "utilization " + figures + ", without shares " + today.utilization());
    }

    private static FairFleet run(Setup setup) {
        FairFleet fleet = new FairFleet(setup);
        fleet.run(12);
        fleet.measure();
        fleet.run(30);
        return fleet;
    }

    private static Setup withoutShares(Setup setup) {
        return new Setup(
                setup.gateways(),
                setup.targets(),
                setup.slotsByTeam(),
                setup.meanSeconds(),
                setup.skew(),
                setup.loss(),
                false,
                setup.seed());
    }

    /** Guards against shares by what is sent: one team sends seven times its usual load. */
    @ParameterizedTest
    @ValueSource(ints = {1, 5, 40, 200})
    void aTeamThatSendsSevenTimesItsUsualTakesNothingFromTheOthers(int gateways) {
        double[] slots = FairFleet.teams(20, 36);
        slots[0] *= 7;
        check(new Setup(gateways, 100, slots, new double[] {0.75}, 1, 0.05, true, 1));
    }

    /** Guards against shares by numbers of calls: skewed teams, with short and long calls. */
    @ParameterizedTest
    @ValueSource(ints = {1, 5, 40, 200})
    void skewedTeamsWithCallsOfDifferentLengthsGetTheirShares(int gateways) {
        double[] slots = IntStream.range(0, 20).mapToDouble(i -> 200.0 / (1 + i)).toArray();
        slots[3] *= 7;
        slots[9] *= 7;
        check(new Setup(gateways, 100, slots, new double[] {0.4, 0.75, 1.5}, 2, 0.1, true, 2));
    }

    /** Guards against shares that are lost with a gateway, or told late by one that starts. */
    @ParameterizedTest
    @ValueSource(ints = {5, 40})
    void gatewaysThatAreLostAndRestartedTakeNoShareAway(int gateways) {
        double[] slots = FairFleet.teams(20, 36);
        slots[0] *= 7;
        FairFleet fleet =
                new FairFleet(
                        new Setup(gateways, 100, slots, new double[] {0.75}, 2, 0.2, true, 3));
        fleet.run(12);
        fleet.measure();
        IntStream.range(0, 5)
                .forEach(
                        round -> {
                            fleet.restart(round, Duration.ofMillis(500 + 500 * round));
                            fleet.run(6);
                        });
        assertTrue(fleet.worst() >= WORST, () -> "" + FairFleet.describe(fleet));
        assertTrue(fleet.refusedTwice() <= TWICE, () -> "" + FairFleet.describe(fleet));
    }

    /** Guards against messages and refusals without a shortage, also in a short burst of a team. */
    @ParameterizedTest
    @ValueSource(ints = {1, 5, 40})
    void nothingIsReportedOrRefusedWhileSlotsAreFree(int gateways) {
        double[] slots = FairFleet.teams(20, 24);
        FairFleet fleet =
                new FairFleet(new Setup(gateways, 100, slots, new double[] {0.75}, 1, 0, true, 4));
        fleet.measure();
        fleet.run(5);
        fleet.setDemand(0, 24 * 7);
        fleet.run(1.5);
        fleet.setDemand(0, 24);
        fleet.run(5);
        assertEquals(0, fleet.reports);
        assertEquals(0, fleet.retryAfters.size());
        assertFalse(fleet.isAnyShort());
    }

    /** Guards against a shortage that goes on, and is reported, after its cause has ended. */
    @Test
    void reportsEndWithTheShortage() {
        double[] slots = FairFleet.teams(20, 36);
        slots[0] *= 7;
        FairFleet fleet =
                new FairFleet(new Setup(5, 100, slots, new double[] {0.75}, 1, 0, true, 5));
        fleet.run(10);
        assertTrue(fleet.isAnyShort() && fleet.reports > 0);
        IntStream.range(0, 20).forEach(team -> fleet.setDemand(team, 20));
        fleet.run(8);
        assertFalse(fleet.isAnyShort());
        int before = fleet.reports;
        fleet.run(3);
        assertEquals(before, fleet.reports);
    }

    /** Guards against waves of retries: no tenth of the honoured time gets most of the callers. */
    @Test
    void timesToReturnAreSpread() {
        double[] slots = FairFleet.teams(20, 36);
        slots[0] *= 7;
        FairFleet fleet =
                new FairFleet(new Setup(5, 100, slots, new double[] {0.75}, 1, 0, true, 6));
        fleet.run(12);
        fleet.measure();
        fleet.run(10);
        List<Duration> honoured =
                fleet.retryAfters.stream()
                        .filter(time -> time.compareTo(FairFleet.LONGEST) <= 0)
                        .toList();
        Map<Long, Long> byTenth =
                honoured.stream()
                        .collect(
                                Collectors.groupingBy(
                                        time -> time.toMillis() / 167, Collectors.counting()));
        assertTrue(byTenth.size() >= 10, byTenth::toString);
        assertTrue(Collections.max(byTenth.values()) <= 0.2 * honoured.size(), byTenth::toString);
    }
}
