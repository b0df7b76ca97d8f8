package org.sardinelift.bench.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Plays loads in virtual time and checks what callers get, on the mean of some seeds. */
class LoadModelTest {
    private static final int SEEDS = 3;

    private static double mean(
            java.util.function.LongFunction<ModelSettings> settings,
            ModelPolicy policy,
            ToDoubleFunction<ModelResult> figure) {
        return LongStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> LoadModel.play(settings.apply(seed), policy))
                .mapToDouble(figure)
                .average()
                .orElseThrow();
    }

    private static double served(ModelResult result) {
        return result.inTime() + result.inTimeAfterReturn();
    }

    @Test
    void atTheUsualLoadNearlyAllAreInTimeAndBatchCostsOnlineCallsLittle() {
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

    /** Reports come late, but callers get nearly what one queue for all would give them. */
    @Test
    void aboveTheCapacityCallersGetNearlyWhatACommonQueueGives() {
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
    void aboveTheCapacityCallersGetMoreThanByPoliciesWithoutReports() {
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

    /** Nobody waits past the objective in vain: who can't be served is refused and returns. */
    @Test
    void withHalfOfTheTargetsLostFewCallsAreLateAndNoneIsLost() {
        double late =
                mean(
                        seed -> ModelSettings.small(0.75, seed).withTargets(1),
                        ModelPolicy.PRODUCT,
                        ModelResult::late);
        double refused =
                mean(
                        seed -> ModelSettings.small(0.75, seed).withTargets(1),
                        ModelPolicy.PRODUCT,
                        ModelResult::refused);

        assertTrue(late <= 0.05, "late " + late);
        assertTrue(refused <= 0.01, "refused " + refused);
    }

    /** Those who come back must not fill the queues beyond the objective of all who are new. */
    @Test
    void inALongPeakMostWhoAreServedAreServedInTime() {
        double inTime =
                mean(
                        seed -> ModelSettings.small(1, seed).withTargets(1),
                        ModelPolicy.PRODUCT,
                        LoadModelTest::served);
        double late =
                mean(
                        seed -> ModelSettings.small(1, seed).withTargets(1),
                        ModelPolicy.PRODUCT,
                        ModelResult::late);

        assertTrue(inTime >= 0.8 * (inTime + late), "in time " + inTime + ", late " + late);
    }

    @Test
    void everyCallIsCountedOnce() {
        ModelResult result = LoadModel.play(ModelSettings.small(1.6, 7), ModelPolicy.PRODUCT);

        double all =
                result.inTime() + result.inTimeAfterReturn() + result.late() + result.refused();
        assertEquals(1, all, 1e-9);
    }

    @Test
    void aSeedGivesTheSameRunAgain() {
        ModelResult first = LoadModel.play(ModelSettings.small(1, 5), ModelPolicy.PRODUCT);
        ModelResult second = LoadModel.play(ModelSettings.small(1, 5), ModelPolicy.PRODUCT);

        assertEquals(first.row("x"), second.row("x"));
    }
}
