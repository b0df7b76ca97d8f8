package org.sardinelift.core.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sardinelift.core.load.Placement.Choice;

/**
 * Guards against one new connection for each call where many gateways share many targets: each
 * gateway sends a call to one target every few seconds only, so that an idle connection is closed
 * before the next call.
 */
class ConnectionReuseTest {
    private static final long MILLI = 1_000_000;
    private static final int SLOTS = 8;
    private static final int CALLS = 20_000;
    private static final long CALL_NANOS = 220 * MILLI;
    private static final List<String> ZONES = List.of("a", "b", "c");

    /** Calls of several gateways in virtual time; loads are known to all at once. */
    private static final class Model {
        private final Random random = new Random(1);
        private final long maxIdle;
        private final boolean considersConnections;
        private final List<String> targets;
        private final Map<String, Integer> running = new HashMap<>();
        private final List<Map<String, List<Long>>> idleSince = new ArrayList<>();
        private final PriorityQueue<End> ends = new PriorityQueue<>(Comparator.comparing(End::at));
        private int connections;
        private double callsOnChosenTargets;

        private record End(long at, int gateway, String target) {}

        Model(int gateways, int targetCount, long maxIdle, boolean considersConnections) {
            this.maxIdle = maxIdle;
            this.considersConnections = considersConnections;
            this.targets = IntStream.range(0, targetCount).mapToObj(i -> "t-" + i).toList();
            IntStream.range(0, gateways).forEach(i -> idleSince.add(new HashMap<>()));
        }

        Model run(double callsPerSecond) {
            long now = 0;
            for (int i = 0; i < CALLS; i++) {
                now += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / callsPerSecond);
                endCalls(now);
                place(random.nextInt(idleSince.size()), now);
            }
            return this;
        }

        private void endCalls(long now) {
            while (!ends.isEmpty() && ends.peek().at() <= now) {
                End end = ends.poll();
                running.merge(end.target(), -1, Integer::sum);
                idleSince
                        .get(end.gateway())
                        .computeIfAbsent(end.target(), key -> new ArrayList<>())
                        .add(end.at());
            }
        }

        private void place(int gateway, long now) {
            Placement placement =
                    Placement.of(ZONES.get(gateway % ZONES.size()), Duration.ofMillis(30));
            List<TargetLoad> loads = targets.stream().map(t -> load(t, gateway, now)).toList();
            Choice choice = placement.choose(loads, Duration.ofMillis(300), random.nextLong());
            String target = ((Choice.Placed) choice).target().id();
            callsOnChosenTargets += running.getOrDefault(target, 0);
            if (!takeConnection(gateway, target, now)) {
                connections++;
            }
            running.merge(target, 1, Integer::sum);
            ends.add(new End(now + CALL_NANOS, gateway, target));
        }

        private TargetLoad load(String target, int gateway, long now) {
            TargetLoad load =
                    new TargetLoad(
                            target,
                            ZONES.get(targets.indexOf(target) % ZONES.size()),
                            SLOTS,
                            new TargetCalls(running.getOrDefault(target, 0), 0),
                            CALL_NANOS,
                            45 * MILLI,
                            false,
                            0);
            boolean isMarked = considersConnections && !hasConnection(gateway, target, now);
            return isMarked ? load.withNewConnection() : load;
        }

        private boolean hasConnection(int gateway, String target, long now) {
            return idleSince.get(gateway).getOrDefault(target, List.of()).stream()
                    .anyMatch(since -> now - since < maxIdle);
        }

        private boolean takeConnection(int gateway, String target, long now) {
            List<Long> idle =
                    idleSince.get(gateway).computeIfAbsent(target, key -> new ArrayList<>());
            idle.removeIf(since -> now - since >= maxIdle);
            return !idle.isEmpty() && idle.remove(idle.size() - 1) != null;
        }

        double connectionsPerCall() {
            return (double) connections / CALLS;
        }

        double meanCallsOnChosenTarget() {
            return callsOnChosenTargets / CALLS;
        }
    }

    /** Calls that must not be repeated used new connections only; others idle ones up to 2 s. */
    @ParameterizedTest
    @CsvSource({"0, 200", "2000, 2000"})
    void aTargetWithAnIdleConnectionIsPreferredToOneWithACallLess(
            long maxIdleMsBefore, long maxIdleMs) {
        Model before = new Model(23, 34, maxIdleMsBefore * MILLI, false).run(157);
        Model after = new Model(23, 34, maxIdleMs * MILLI, true).run(157);

        assertTrue(
                after.connectionsPerCall() < before.connectionsPerCall() / 2,
                "%.3f instead of %.3f"
                        .formatted(after.connectionsPerCall(), before.connectionsPerCall()));
        assertTrue(
                after.meanCallsOnChosenTarget() < before.meanCallsOnChosenTarget() + 1,
                "%.3f instead of %.3f"
                        .formatted(
                                after.meanCallsOnChosenTarget(), before.meanCallsOnChosenTarget()));
    }

    @Test
    void anIdleConnectionDoesntOutweighALongQueue() {
        Placement placement = Placement.of("a", Duration.ofMillis(30));
        TargetLoad connected =
                new TargetLoad(
                        "busy",
                        "a",
                        SLOTS,
                        new TargetCalls(6, 0),
                        CALL_NANOS,
                        45 * MILLI,
                        false,
                        0);
        TargetLoad idle =
                new TargetLoad(
                                "idle",
                                "a",
                                SLOTS,
                                new TargetCalls(1, 0),
                                CALL_NANOS,
                                45 * MILLI,
                                false,
                                0)
                        .withNewConnection();

        Choice choice = placement.choose(List.of(connected, idle), Duration.ofMillis(300), 1);

        assertEquals("idle", ((Choice.Placed) choice).target().id());
    }
}
