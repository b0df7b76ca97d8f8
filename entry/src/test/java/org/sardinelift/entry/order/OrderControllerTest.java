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

/** Controllers on a platform in memory, in virtual time. */
class OrderControllerTest {
    private static final OrderBounds BOUNDS = OrderBounds.defaults();
    private final FakeObjectStore platform = new FakeObjectStore();
    private final Map<String, String> versions = new TreeMap<>(Map.of("c1", "1", "c2", "1"));
    private final List<String> givenBy = new ArrayList<>();
    private final List<Long> numbers = new ArrayList<>();
    private String failing = "";
    private long nowNanos;

    /** Companions that carry each order out at once. */
    private final class Lanes implements OrderTransport {
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
            givenBy.add(order.getHolder());
            numbers.add(order.getFence());
            boolean fails = companion.equals(failing) && order.getVersion().equals("2");
            if (!fails) {
                versions.put(companion, order.getVersion());
            }
            controller.onResult(
                    new OrderResult(order.getExchange(), !fails, order.getFence(), "no weights")
                            .setPassedOn(true));
            return true;
        }
    }

    private OrderController controller(String name) {
        Lanes lanes = new Lanes();
        List<Runnable> tasks = new ArrayList<>();
        boolean[] running = {false};
        lanes.controller =
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
                        lanes,
                        Catalog::empty,
                        new Holder(name, name + "-1"),
                        BOUNDS);
        return lanes.controller;
    }

    private void want(String id, long version) {
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

    private void look(int periods, OrderController... controllers) {
        IntStream.range(0, periods)
                .forEach(
                        i -> {
                            nowNanos += BOUNDS.pollInterval().toNanos();
                            List.of(controllers).forEach(OrderController::poll);
                        });
    }

    @Test
    void onlyTheHolderGivesOrdersUntilItsLeaseLapses() {
        OrderController first = controller("e1");
        OrderController second = controller("e2");
        want("a", 0);
        look(10, first, second);
        assertEquals(Set.of("e1"), Set.copyOf(givenBy));
        assertEquals(RolloutPhase.COMPLETED, state().phase());

        versions.put("c2", "1");
        want("b", 1);
        look(4, second);
        assertEquals(2, givenBy.size());
        look(10, second);
        assertEquals("e2", givenBy.get(2));
        assertEquals(RolloutPhase.COMPLETED, state().phase());
        look(10, first, second);
        assertEquals(3, givenBy.size());
        assertEquals(numbers.stream().sorted().distinct().toList(), numbers);
    }

    @Test
    void aFailedLoadGoesBackAndTheStatusSaysWhy() {
        failing = "c2";
        want("a", 0);
        look(20, controller("e1"));
        assertEquals(RolloutPhase.ROLLED_BACK, state().phase());
        assertEquals("c2: no weights", state().rollbackReason());
        assertEquals(Map.of("c1", "1", "c2", "1"), versions);
    }

    @Test
    void nothingIsBegunInPlaceOfAStateThatCannotBeRead() {
        platform.write(new ObjectKey(RolloutCodec.STATUS_KIND, "r"), 0, "{\"phase\":\"NEW\"}");
        want("a", 0);
        look(20, controller("e1"));
        assertTrue(givenBy.isEmpty());
    }

    @Test
    void anOutageOfThePlatformHoldsOrdersBackAndLostAnswersAreReadAgain() {
        OrderController only = controller("e1");
        want("a", 0);
        look(1, only);
        platform.down(true);
        look(20, only);
        assertTrue(givenBy.isEmpty());
        platform.down(false);
        platform.loseAnswers(3);
        look(60, only);
        assertEquals(RolloutPhase.COMPLETED, state().phase());
        assertTrue(Duration.ofNanos(nowNanos).toMinutes() < 5);
    }
}
