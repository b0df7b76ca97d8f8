package org.sardinelift.companion.order;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sardinelift.protocol.generated.Order;
import org.sardinelift.protocol.generated.OrderResult;
import org.sardinelift.testkit.FakeObjectStore;

class OrderGuardTest {
    private final FakeObjectStore store = new FakeObjectStore();
    private final List<Long> carriedOut = new ArrayList<>();
    private final List<OrderResult> results = new ArrayList<>();

    private OrderGuard guard() {
        return new OrderGuard(
                store,
                "t1",
                order -> {
                    carriedOut.add(order.getFence());
                    return CompletableFuture.completedFuture(
                            new OrderExecutor.Result(true, "loaded"));
                },
                Runnable::run,
                4,
                3);
    }

    private boolean take(OrderGuard guard, long fence) {
        guard.take(new Order(1, fence, "load", "tags", "2", "e1"), results::add);
        return results.get(results.size() - 1).isAccepted();
    }

    @Test
    void anOrderBelowTheHighestFencingNumberIsRefused() {
        OrderGuard guard = guard();
        assertTrue(take(guard, 7));
        assertFalse(take(guard, 6));
        assertTrue(take(guard, 7));
        assertTrue(take(guard, 8));
        assertEquals(List.of(7L, 7L, 8L), carriedOut);
        assertEquals(8, guard.highestFence());
    }

    @Test
    void aRestartDoesNotForgetTheHighestFencingNumber() {
        take(guard(), 7);
        assertFalse(take(guard(), 6));
        assertEquals(7, results.get(1).getHighestFence());
    }

    @Test
    void noOrderIsServedWhileThePlatformIsAway() {
        store.down(true);
        assertFalse(take(guard(), 7));
        assertTrue(carriedOut.isEmpty());
        assertFalse(results.get(0).isPassedOn());
        store.down(false);
        assertTrue(take(guard(), 7));
        assertTrue(results.get(1).isPassedOn());
    }

    @Test
    void aStaleReadLetsNoOldOrderThrough() {
        take(guard(), 7);
        take(guard(), 9);
        store.stale(true);
        assertFalse(take(guard(), 8));
        assertEquals(List.of(7L, 9L), carriedOut);
    }

    @Test
    void aLostAnswerOfTheWriteIsMadeUpForByReadingAgain() {
        store.loseAnswers(1);
        assertTrue(take(guard(), 7));
        assertEquals(List.of(7L), carriedOut);
    }
}
