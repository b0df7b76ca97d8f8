package org.sardinelift.bench.slope;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.sardinelift.core.gate.GateAction;
import org.sardinelift.core.gate.GateCall;
import org.sardinelift.core.gate.GateSettings;
import org.sardinelift.core.gate.SlotGate;

/** Time of the companion's slot gate with queued online calls and with teams. */
final class GateSlopes {
    private static final int[] QUEUED = {8, 64, 256, 1024, 2048};
    private static final int SLOTS = 64;
    private static final int[] TEAMS = {8, 64, 512, 2048};
    private static final int TYPICAL_TEAMS = 64;
    private static final int LONG_QUEUE = 2048;
    private static final int QUEUE_BOUND = 4096;
    private static final long DEADLINE_MS = Long.MAX_VALUE / 2;

    private GateSlopes() {}

    static List<Slope> measure() {
        return List.of(
                Slope.measure(
                        "companion",
                        "gate: one call ends, one comes",
                        "online calls queued",
                        "ns",
                        QUEUED,
                        queued -> turnoverTime(queued, TYPICAL_TEAMS)),
                Slope.measure(
                        "companion",
                        "gate: the same, 2048 calls queued",
                        "teams",
                        "ns",
                        TEAMS,
                        teams -> turnoverTime(LONG_QUEUE, teams)),
                Slope.measure(
                        "companion",
                        "gate: tick",
                        "online calls queued",
                        "ns",
                        QUEUED,
                        GateSlopes::tickTime));
    }

    private static double turnoverTime(int queued, int teams) {
        Deque<String> running = new ArrayDeque<>();
        SlotGate gate = filledGate(queued, teams, running);
        AtomicLong number = new AtomicLong(queued + SLOTS);
        return Measurements.medianNanos(
                () -> {
                    long next = number.incrementAndGet();
                    addStarted(gate.release(next, running.remove()), running);
                    addStarted(gate.submit(next, call(next, teams)), running);
                });
    }

    private static double tickTime(int queued) {
        SlotGate gate = filledGate(queued, TYPICAL_TEAMS, new ArrayDeque<>());
        AtomicLong now = new AtomicLong();
        return Measurements.medianNanos(() -> gate.tick(now.incrementAndGet()));
    }

    private static SlotGate filledGate(int queued, int teams, Deque<String> running) {
        GateSettings base = GateSettings.defaults(SLOTS);
        GateSettings settings =
                new GateSettings(
                        true,
                        SLOTS,
                        QUEUE_BOUND,
                        base.maxBatchQueue(),
                        base.batchAhead(),
                        base.minReserve(),
                        base.maxReserve(),
                        base.reserveHalfLifeMs(),
                        base.resumeWaitMs(),
                        base.reportSlackMs(),
                        base.reportTtlMs());
        SlotGate gate = SlotGate.create(settings);
        for (int number = 0; number < queued + SLOTS; number++) {
            addStarted(gate.submit(0, call(number, teams)), running);
        }
        return gate;
    }

    private static void addStarted(List<GateAction> actions, Deque<String> running) {
        actions.stream()
                .filter(GateAction.Run.class::isInstance)
                .map(GateAction::id)
                .forEach(running::add);
    }

    private static GateCall call(long number, int teams) {
        return new GateCall(
                "call-" + number, "team-" + number % teams, 1, false, DEADLINE_MS, false, false);
    }
}
