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
    private final List<Long> executed = new ArrayList<>();
    private final List<OrderResult> results = new ArrayList<>();

    private OrderGuard guard() {
        return new OrderGuard(
                store,
                "t1",
                order -> {
                    executed.add(order.getFence());
                    return CompletableFuture.completedFuture(
                            new OrderExecutor.Result(true, "loaded"));
                },
                Runnable::run,
                4,
                3);
    }

    private boolean submit(OrderGuard guard, long fence) {
        guard.submit(new Order(1, fence, "load", "tags", "2", "e1"), results::add);
        return results.get(results.size() - 1).isAccepted();
    }

    @Test
    void orderBelowTheHighestFencingNumberIsRefused() {
        OrderGuard guard = guard();
        assertTrue(submit(guard, 7));
        assertFalse(submit(guard, 6));
        assertTrue(submit(guard, 7));
        assertTrue(submit(guard, 8));
        assertEquals(List.of(7L, 7L, 8L), executed);
        assertEquals(8, guard.highestFence());
    }

    @Test
    void highestFencingNumberSurvivesARestart() {
        submit(guard(), 7);
        assertFalse(submit(guard(), 6));
        assertEquals(7, results.get(1).getHighestFence());
    }

    @Test
    void noOrderIsExecutedWhileThePlatformIsUnavailable() {
        store.setDown(true);
        assertFalse(submit(guard(), 7));
        assertTrue(executed.isEmpty());
        assertFalse(results.get(0).isPassedOn());
        store.setDown(false);
        assertTrue(submit(guard(), 7));
        assertTrue(results.get(1).isPassedOn());
    }

    @Test
    void staleReadDoesNotLetAnOldOrderThrough() {
        submit(guard(), 7);
        submit(guard(), 9);
        store.setStaleReads(true);
        assertFalse(submit(guard(), 8));
        assertEquals(List.of(7L, 9L), executed);
    }

    @Test
    void lostResponseOfAWriteIsRecoveredByReadingAgain() {
        store.loseAnswers(1);
        assertTrue(submit(guard(), 7));
        assertEquals(List.of(7L), executed);
    }
}
