package org.sardinelift.entry.order;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.batch.Holder;
import org.sardinelift.core.catalog.Catalog;
import org.sardinelift.core.order.OrderBounds;
import org.sardinelift.core.order.RolloutGoal;
import org.sardinelift.core.order.RolloutPhase;
import org.sardinelift.core.order.RolloutSpec;
import org.sardinelift.core.order.RolloutState;
import org.sardinelift.core.order.TargetView;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.kinds.DecodeResult;
import org.sardinelift.objects.kinds.RolloutCodec;
import org.sardinelift.protocol.generated.Order;
import org.sardinelift.protocol.generated.OrderResult;
import org.sardinelift.testkit.FakeObjectStore;

/**
 * Runs controllers on a platform in memory, in virtual time. Guards against orders from two entries
 * at once, and against roll-outs that start or stall where the platform's state is unknown.
 */
class OrderControllerTest {
    private static final OrderBounds BOUNDS = OrderBounds.defaults();
    private final FakeObjectStore platform = new FakeObjectStore();
    private final Map<String, String> versions = new TreeMap<>(Map.of("c1", "1", "c2", "1"));
    private final List<String> senders = new ArrayList<>();
    private final List<Long> orderNumbers = new ArrayList<>();
    private String failingCompanion = "";
    private long nowNanos;

    /** Carries out each order at once, as a companion would. */
    private final class ImmediateTransport implements OrderTransport {
        private OrderController controller;

        @Override
        public List<TargetView> targets() {
            return versions.entrySet().stream()
                    .map(
                            each ->
                                    new TargetView(
                                            each.getKey(),
                                            "s",
                                            true,
                                            Set.of("m"),
                                            Map.of("m", each.getValue()),
                                            ""))
                    .toList();
        }

        @Override
        public boolean send(String companion, Order order) {
            assertTrue(state().activeTargets().contains(companion), "noted before it is ordered");
            senders.add(order.getHolder());
            orderNumbers.add(order.getFence());
            boolean fails = companion.equals(failingCompanion) && order.getVersion().equals("2");
            if (!fails) {
                versions.put(companion, order.getVersion());
            }
            controller.onResult(
                    new OrderResult(order.getExchange(), !fails, order.getFence(), "no weights")
                            .setPassedOn(true));
            return true;
        }
    }

    private OrderController createController(String name) {
        ImmediateTransport transport = new ImmediateTransport();
        List<Runnable> tasks = new ArrayList<>();
        boolean[] running = {false};
        transport.controller =
                OrderController.of(
                        platform,
                        task -> {
                            tasks.add(task);
                            if (!running[0]) {
                                running[0] = true;
                                while (!tasks.isEmpty()) {
                                    tasks.remove(0).run();
                                }
                                running[0] = false;
                            }
                        },
                        () -> nowNanos,
                        transport,
                        Catalog::empty,
                        new Holder(name, name + "-1"),
                        BOUNDS);
        return transport.controller;
    }

    private void writeSpec(String id, long version) {
        RolloutSpec spec =
                new RolloutSpec("r", id, 0, "s", RolloutGoal.version("m", "2"), 0.5, false);
        platform.write(
                new ObjectKey(RolloutCodec.SPEC_KIND, "r"), version, RolloutCodec.encodeSpec(spec));
    }

    private RolloutState state() {
        ReadResult read = platform.read(new ObjectKey(RolloutCodec.STATUS_KIND, "r")).join();
        String value = ((ReadResult.Found) read).object().value();
        return ((DecodeResult.Valid<RolloutState>) RolloutCodec.decodeState("r", value)).item();
    }

    private void poll(int periods, OrderController... controllers) {
        IntStream.range(0, periods)
                .forEach(
                        i -> {
                            nowNanos += BOUNDS.pollInterval().toNanos();
                            List.of(controllers).forEach(OrderController::poll);
                        });
    }

    @Test
    void onlyTheLeaseOwnerSendsOrdersUntilTheLeaseExpires() {
        OrderController first = createController("e1");
        OrderController second = createController("e2");
        writeSpec("a", 0);
        poll(10, first, second);
        assertEquals(Set.of("e1"), Set.copyOf(senders));
        assertEquals(RolloutPhase.COMPLETED, state().phase());

        versions.put("c2", "1");
        writeSpec("b", 1);
        poll(4, second);
        assertEquals(2, senders.size());
        poll(10, second);
        assertEquals("e2", senders.get(2));
        assertEquals(RolloutPhase.COMPLETED, state().phase());
        poll(10, first, second);
        assertEquals(3, senders.size());
        assertEquals(orderNumbers.stream().sorted().distinct().toList(), orderNumbers);
    }

    @Test
    void aFailedLoadIsRolledBackAndTheStatusStatesTheReason() {
        failingCompanion = "c2";
        writeSpec("a", 0);
        poll(20, createController("e1"));
        assertEquals(RolloutPhase.ROLLED_BACK, state().phase());
        assertEquals("c2: no weights", state().rollbackReason());
        assertEquals(Map.of("c1", "1", "c2", "1"), versions);
    }

    @Test
    void noRolloutStartsWhereTheStoredStateCannotBeRead() {
        platform.write(new ObjectKey(RolloutCodec.STATUS_KIND, "r"), 0, "{\"phase\":\"NEW\"}");
        writeSpec("a", 0);
        poll(20, createController("e1"));
        assertTrue(senders.isEmpty());
    }

    @Test
    void noOrdersAreSentDuringAPlatformOutageAndUnconfirmedWritesAreReadAgain() {
        OrderController only = createController("e1");
        writeSpec("a", 0);
        poll(1, only);
        platform.setDown(true);
        poll(20, only);
        assertTrue(senders.isEmpty());
        platform.setDown(false);
        platform.loseAnswers(3);
        poll(60, only);
        assertEquals(RolloutPhase.COMPLETED, state().phase());
        assertTrue(Duration.ofNanos(nowNanos).toMinutes() < 5);
    }
}
