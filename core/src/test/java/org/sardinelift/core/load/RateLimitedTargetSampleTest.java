package org.sardinelift.core.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The part of a fleet's calls that a rate-limited target is offered to. */
class RateLimitedTargetSampleTest {
    private static final int CALLS = 20_000;

    private static double offeredPart(double limitPerSecond, double fleetCallsPerSecond) {
        Random random = new Random(3);
        return IntStream.range(0, CALLS)
                        .filter(
                                i ->
                                        RateLimitedTargetSample.includes(
                                                "i-1",
                                                limitPerSecond,
                                                fleetCallsPerSecond,
                                                random.nextLong()))
                        .count()
                / (double) CALLS;
    }

    @Test
    void aSmallFleetOffersItToEachCall() {
        assertEquals(1, offeredPart(3, 30));
        assertEquals(1, offeredPart(100, 400));
        assertEquals(1, offeredPart(3, 0));
    }

    @Test
    void aLargeFleetOffersItToTheCallsThatArriveWhileAReportTravels() {
        assertEquals(33.3 / 2_000, offeredPart(0.2, 2_000), 0.005);
        assertEquals(0.2, offeredPart(100, 2_000), 0.02);
    }

    /** Callers often number their calls, so draws may differ in few bits. */
    @Test
    void callsWithSimilarIdsAreSpread() {
        long offered =
                IntStream.range(0, CALLS)
                        .filter(
                                i ->
                                        RateLimitedTargetSample.includes(
                                                "i-1", 100, 2_000, ("call-" + i).hashCode()))
                        .count();

        assertEquals(0.2, offered / (double) CALLS, 0.04);
    }
}
