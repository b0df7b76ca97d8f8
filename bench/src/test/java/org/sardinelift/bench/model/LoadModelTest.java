package org.sardinelift.bench.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Simulates loads in virtual time and checks what callers get, as the mean of several seeds. */
class LoadModelTest {
    private static final int SEEDS = 3;

    private static double mean(
            java.util.function.LongFunction<ModelSettings> settings,
            ModelPolicy policy,
            ToDoubleFunction<ModelResult> figure) {
        return LongStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> LoadModel.simulate(settings.apply(seed), policy))
                .mapToDouble(figure)
                .average()
                .orElseThrow();
    }

    private static double served(ModelResult result) {
        return result.inTime() + result.inTimeAfterRetry();
    }

    @Test
    void atTypicalLoadNearlyAllCallsAreInTimeAndBatchDelaysFewOnlineCalls() {
        double with =
                mean(
                        seed -> ModelSettings.small(1, seed),
                        ModelPolicy.PRODUCT,
                        ModelResult::inTime);
        double without =
                mean(
                        seed -> ModelSettings.small(1, seed).withoutBatch(),
                        ModelPolicy.PRODUCT,
                        ModelResult::inTime);
        double items =
                mean(
                        seed -> ModelSettings.small(1, seed),
                        ModelPolicy.PRODUCT,
                        ModelResult::itemsInTime);

        assertTrue(with >= 0.97, "in time " + with);
        assertTrue(without - with <= 0.02, "batch costs " + (without - with));
        assertTrue(items >= 0.97, "items in time " + items);
    }

    /** Although reports arrive late, callers get nearly what one common queue would give them. */
    @Test
    void aboveCapacityCallersGetNearlyWhatACommonQueueGives() {
        double product =
                mean(
                        seed -> ModelSettings.small(1.33, seed),
                        ModelPolicy.PRODUCT,
                        LoadModelTest::served);
        double bound =
                mean(
                        seed -> ModelSettings.small(1.33, seed),
                        ModelPolicy.COMMON_QUEUE,
                        LoadModelTest::served);

        assertTrue(product >= bound - 0.03, product + " of " + bound);
    }

    @Test
    void aboveCapacityMoreCallsAreServedThanByPoliciesWithoutReports() {
        double product =
                mean(
                        seed -> ModelSettings.small(1.33, seed),
                        ModelPolicy.PRODUCT,
                        LoadModelTest::served);
        for (ModelPolicy policy :
                new ModelPolicy[] {
                    ModelPolicy.RANDOM, ModelPolicy.LEAST_OWN, ModelPolicy.TWO_CHOICES
                }) {
            double other =
                    mean(seed -> ModelSettings.small(1.33, seed), policy, LoadModelTest::served);
            assertTrue(product >= other + 0.2, policy + " " + other + ", product " + product);
        }
    }

    /** Calls that can't be served within the objective are refused at once and retried. */
    @Test
    void withHalfOfTheTargetsLostFewCallsAreLateOrRefused() {
        double late =
                mean(
                        seed -> ModelSettings.small(0.75, seed).withTargetsPerZone(1),
                        ModelPolicy.PRODUCT,
                        ModelResult::late);
        double refused =
                mean(
                        seed -> ModelSettings.small(0.75, seed).withTargetsPerZone(1),
                        ModelPolicy.PRODUCT,
                        ModelResult::refused);

        assertTrue(late <= 0.05, "late " + late);
        assertTrue(refused <= 0.01, "refused " + refused);
    }

    /** Retried calls must not fill the queues so far that new calls miss the objective. */
    @Test
    void inALongPeakMostServedCallsAreInTime() {
        double inTime =
                mean(
                        seed -> ModelSettings.small(1, seed).withTargetsPerZone(1),
                        ModelPolicy.PRODUCT,
                        LoadModelTest::served);
        double late =
                mean(
                        seed -> ModelSettings.small(1, seed).withTargetsPerZone(1),
                        ModelPolicy.PRODUCT,
                        ModelResult::late);

        assertTrue(inTime >= 0.8 * (inTime + late), "in time " + inTime + ", late " + late);
    }

    /**
     * Two of three targets take half of their usual requests, but have free slots. A request is
     * better used for an item, which runs for seconds, while the other targets run calls.
     */
    @Test
    void withLimitedTargetsItemsAreInTimeAndCallsAreServed() {
        double items =
                mean(
                        LoadModelTest::withLimitedTargets,
                        ModelPolicy.PRODUCT,
                        ModelResult::itemsInTime);
        double served =
                mean(LoadModelTest::withLimitedTargets, ModelPolicy.PRODUCT, LoadModelTest::served);

        assertTrue(items >= 0.9, "items in time " + items);
        assertTrue(served >= 0.85, "calls served " + served);
    }

    private static ModelSettings withLimitedTargets(long seed) {
        return ModelSettings.small(1, seed).withLimitedTargets(4, 3);
    }

    @Test
    void everyCallIsCountedOnce() {
        ModelResult result = LoadModel.simulate(ModelSettings.small(1.6, 7), ModelPolicy.PRODUCT);

        double all = result.inTime() + result.inTimeAfterRetry() + result.late() + result.refused();
        assertEquals(1, all, 1e-9);
    }

    @Test
    void theSameSeedGivesTheSameResults() {
        ModelResult first = LoadModel.simulate(ModelSettings.small(1, 5), ModelPolicy.PRODUCT);
        ModelResult second = LoadModel.simulate(ModelSettings.small(1, 5), ModelPolicy.PRODUCT);

        assertEquals(first.row("x"), second.row("x"));
    }
}
