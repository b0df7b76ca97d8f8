package org.sardinelift.entry.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.core.outcome.RunOutcome;
import org.sardinelift.testkit.FakeObjectStore;

/**
 * Random sequences of platform faults, cut connections, freezes, crashes and cancels over several
 * entries. Items would be lost, run twice or run after a cancel if an entry acted on a stale read,
 * a lost answer or a claim that another entry had taken over.
 */
class BatchFaultsTest {
    private static final int ITEMS = 60;
    private static final int STEPS = 30;
    private static final double FAULTS = 0.15;

    /** One sequence, drawn from one seed. */
    private static final class Scenario {
        private final Random random;
        private final FakeObjectStore store = new FakeObjectStore();
        private final Fleet fleet = new Fleet();
        private final JobStateAudit audit;
        private final List<FaultyStore> connections = new ArrayList<>();
        private final List<AtomicReference<Reply>> cancels = new ArrayList<>();
        private final BatchSettings settings = smallSettings();
        private final VirtualControl.Entry engine;
        private int entries;
        private boolean isDown;
        private int startsAfterCancel;
        private int resultsAtCancel = -1;

        Scenario(long seed, JobStateAudit audit) {
            this.random = new Random(seed);
            this.audit = audit;
            this.engine = fleet.time().newEntry();
            fleet.dispatcher().setSlots(12);
            fleet.dispatcher()
                    .setBehaviour(
                            (spec, listener) -> {
                                startsAfterCancel += isCancelConfirmed() ? 1 : 0;
                                Runnable end =
                                        () -> {
                                            if (spec.isIdempotent() && random.nextInt(10) == 0) {
                                                listener.onProblem(
                                                        Problem.failed(
                                                                ProblemKind.TARGET_FAILED,
                                                                RunOutcome.UNKNOWN,
                                                                "the target died"));
                                            } else {
                                                FakeDispatcher.answer(spec, listener);
                                            }
                                        };
                                engine.schedule(Duration.ofMillis(random.nextInt(400)), end);
                            });
        }

        static BatchSettings smallSettings() {
            return TestSettings.with(
                    Map.of(
                            "chunkItems", 10,
                            "chunkUnrepeatable", 4,
                            "loadedChunks", 4,
                            "chunksPerJob", 2,
                            "itemLongestPauseMs", 2_000,
                            "pumpPeriodMs", 50,
                            "watchPauseMs", 50));
        }

        boolean isCancelConfirmed() {
            return cancels.stream()
                    .anyMatch(reply -> reply.get() != null && reply.get().status() == 200);
        }

        void startEntry() {
            entries++;
            FaultyStore connection = new FaultyStore(store, fleet.time().newEntry(), random, audit);
            connections.add(connection);
            fleet.start("e" + entries, connection, settings);
        }

        List<Fleet.Node> liveEntries() {
            return fleet.nodes().stream().filter(node -> !node.control().isDead()).toList();
        }

        Fleet.Node anyEntry() {
            List<Fleet.Node> live = liveEntries();
            return live.get(random.nextInt(live.size()));
        }

        String lines() {
            return IntStream.range(0, ITEMS)
                    .mapToObj(n -> n % 4 == 3 ? Fleet.noticeLine(n) : Fleet.chatLine(n))
                    .collect(Collectors.joining("\n"));
        }

        /** Submits until an entry confirms the job, as a caller does. */
        String submitUntilAccepted() {
            AtomicReference<Reply> reply = new AtomicReference<>();
            for (int i = 0; i < 50 && (reply.get() == null || reply.get().isProblem()); i++) {
                reply = fleet.submit(anyEntry(), "evening", lines());
                fleet.advance(Duration.ofSeconds(10));
            }
            assertEquals(2, reply.get().status() / 100, () -> "never accepted");
            return reply.get().body().path("id").asText();
        }

        void disturb(boolean mayKill) {
            Fleet.Node node = anyEntry();
            FaultyStore connection = connections.get(fleet.nodes().indexOf(node));
            switch (random.nextInt(mayKill ? 9 : 8)) {
                case 0 -> node.control().freeze();
                case 1, 2 -> liveEntries().forEach(other -> other.control().unfreeze());
                case 3 -> connection.setDisconnected(true);
                case 4 -> connections.forEach(other -> other.setDisconnected(false));
                case 5 -> setPlatformDown(random.nextInt(3) == 0);
                case 6 -> store.compact();
                case 7 -> setPlatformDown(false);
                default -> {
                    node.control().kill();
                    startEntry();
                }
            }
        }

        void run(boolean hasCancel) {
            IntStream.range(0, 3).forEach(i -> startEntry());
            fleet.advance(Duration.ofSeconds(10));
            connections.forEach(connection -> connection.setFaultRate(FAULTS));
            String id = submitUntilAccepted();
            int cancelAt = hasCancel ? random.nextInt(STEPS) : -1;
            for (int step = 0; step < STEPS; step++) {
                disturb(random.nextInt(3) == 0);
                if (step == cancelAt) {
                    cancels.add(fleet.cancel(anyEntry(), id));
                }
                fleet.advance(Duration.ofMillis(random.nextInt(4_000)));
                recordCancelConfirmed(id);
            }
            heal();
            fleet.advance(Duration.ofMinutes(5));
            recordCancelConfirmed(id);
            check(id);
        }

        private void setPlatformDown(boolean down) {
            isDown = down;
            store.setDown(down);
        }

        private void recordCancelConfirmed(String id) {
            if (isCancelConfirmed() && resultsAtCancel < 0) {
                resultsAtCancel = results(id).hashCode();
            }
        }

        void heal() {
            setPlatformDown(false);
            connections.forEach(
                    connection -> {
                        connection.setDisconnected(false);
                        connection.setFaultRate(0);
                    });
            liveEntries().forEach(node -> node.control().unfreeze());
        }

        List<String> results(String id) {
            store.setDown(false);
            Fleet reading = new Fleet();
            Fleet.Node reader =
                    reading.start("reader", new ReadOnlyStore(store), BatchSettings.defaults());
            Fleet.StringSink sink = reading.results(reader, id);
            reading.advance(Duration.ofSeconds(2));
            store.setDown(isDown);
            return sink.lines();
        }

        private void check(String id) {
            assertEquals("", audit.violation());
            List<String> results = results(id);
            List<String> ids =
                    results.stream()
                            .map(line -> BatchJson.parseStored(line).path("custom_id").asText())
                            .toList();
            assertEquals(
                    IntStream.range(0, ITEMS)
                            .mapToObj(n -> (n % 4 == 3 ? "notice-" : "item-") + n)
                            .toList(),
                    ids);
            IntStream.range(0, ITEMS)
                    .filter(n -> n % 4 == 3)
                    .forEach(
                            n ->
                                    assertTrue(
                                            fleet.dispatcher().runCount("{\"pot\":" + n + "}") <= 1,
                                            () -> "notice " + n + " was sent twice"));
            if (isCancelConfirmed()) {
                assertEquals(0, startsAfterCancel, "starts after the confirmed cancel");
                assertEquals(
                        resultsAtCancel, results.hashCode(), "results after the confirmed cancel");
            }
        }
    }

    @Property(tries = 100, seed = "42", shrinking = ShrinkingMode.OFF)
    void everyItemEndsExactlyOnceDespiteFaultsFreezesAndCrashes(@ForAll long seed) {
        new Scenario(seed, JobStateAudit.strict()).run(false);
    }

    @Property(tries = 100, seed = "43", shrinking = ShrinkingMode.OFF)
    void nothingHappensAfterAConfirmedCancel(@ForAll long seed) {
        new Scenario(seed, JobStateAudit.strict()).run(true);
    }

    @Test
    void withoutConditionalUpdatesTheSameFaultsBreakThePromises() {
        long broken =
                LongStream.range(0, 30)
                        .filter(
                                seed -> {
                                    JobStateAudit audit = JobStateAudit.overwriting();
                                    try {
                                        new Scenario(seed, audit).run(true);
                                        return false;
                                    } catch (AssertionError expected) {
                                        return true;
                                    }
                                })
                        .count();
        assertNotEquals(0, broken);
    }
}
