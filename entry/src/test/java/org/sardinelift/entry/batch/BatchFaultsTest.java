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

/** Random interleavings of entries, faults of the platform, freezes, deaths and cancels. */
class BatchFaultsTest {
    private static final int ITEMS = 60;
    private static final int STEPS = 30;
    private static final double FAULTS = 0.15;

    /** One run from one seed. */
    private static final class Scenario {
        private final Random random;
        private final FakeObjectStore store = new FakeObjectStore();
        private final Fleet fleet = new Fleet();
        private final JobStateAudit audit;
        private final List<FaultyStore> ways = new ArrayList<>();
        private final List<AtomicReference<Reply>> cancels = new ArrayList<>();
        private final BatchSettings settings = small();
        private final VirtualControl.Entry engine;
        private int entries;
        private boolean down;
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
                                startsAfterCancel += confirmed() ? 1 : 0;
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

        static BatchSettings small() {
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

        boolean confirmed() {
            return cancels.stream()
                    .anyMatch(reply -> reply.get() != null && reply.get().status() == 200);
        }

        void startEntry() {
            entries++;
            FaultyStore way = new FaultyStore(store, fleet.time().newEntry(), random, audit);
            ways.add(way);
            fleet.start("e" + entries, way, settings);
        }

        List<Fleet.Node> live() {
            return fleet.nodes().stream().filter(node -> !node.control().isDead()).toList();
        }

        Fleet.Node any() {
            List<Fleet.Node> live = live();
            return live.get(random.nextInt(live.size()));
        }

        String lines() {
            return IntStream.range(0, ITEMS)
                    .mapToObj(n -> n % 4 == 3 ? Fleet.noticeLine(n) : Fleet.chatLine(n))
                    .collect(Collectors.joining("\n"));
        }

        /** Submits until one entry confirms, as a caller does. */
        String accept() {
            AtomicReference<Reply> reply = new AtomicReference<>();
            for (int i = 0; i < 50 && (reply.get() == null || reply.get().isProblem()); i++) {
                reply = fleet.submit(any(), "evening", lines());
                fleet.advance(Duration.ofSeconds(10));
            }
            assertEquals(2, reply.get().status() / 100, () -> "never accepted");
            return reply.get().body().path("id").asText();
        }

        void disturb(boolean mayKill) {
            Fleet.Node node = any();
            FaultyStore way = ways.get(fleet.nodes().indexOf(node));
            switch (random.nextInt(mayKill ? 9 : 8)) {
                case 0 -> node.control().freeze();
                case 1, 2 -> live().forEach(other -> other.control().unfreeze());
                case 3 -> way.setDisconnected(true);
                case 4 -> ways.forEach(other -> other.setDisconnected(false));
                case 5 -> down(random.nextInt(3) == 0);
                case 6 -> store.compact();
                case 7 -> down(false);
                default -> {
                    node.control().kill();
                    startEntry();
                }
            }
        }

        void run(boolean cancelToo) {
            IntStream.range(0, 3).forEach(i -> startEntry());
            fleet.advance(Duration.ofSeconds(10));
            ways.forEach(way -> way.setFaultRate(FAULTS));
            String id = accept();
            int cancelAt = cancelToo ? random.nextInt(STEPS) : -1;
            for (int step = 0; step < STEPS; step++) {
                disturb(random.nextInt(3) == 0);
                if (step == cancelAt) {
                    cancels.add(fleet.cancel(any(), id));
                }
                fleet.advance(Duration.ofMillis(random.nextInt(4_000)));
                noteCancel(id);
            }
            heal();
            fleet.advance(Duration.ofMinutes(5));
            noteCancel(id);
            check(id);
        }

        private void down(boolean isDown) {
            down = isDown;
            store.down(isDown);
        }

        private void noteCancel(String id) {
            if (confirmed() && resultsAtCancel < 0) {
                resultsAtCancel = results(id).hashCode();
            }
        }

        void heal() {
            down(false);
            ways.forEach(
                    way -> {
                        way.setDisconnected(false);
                        way.setFaultRate(0);
                    });
            live().forEach(node -> node.control().unfreeze());
        }

        List<String> results(String id) {
            store.down(false);
            Fleet reading = new Fleet();
            Fleet.Node reader =
                    reading.start("reader", new ReadOnlyStore(store), BatchSettings.defaults());
            Fleet.StringSink sink = reading.results(reader, id);
            reading.advance(Duration.ofSeconds(2));
            store.down(down);
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
            if (confirmed()) {
                assertEquals(0, startsAfterCancel, "starts after the confirmed cancel");
                assertEquals(
                        resultsAtCancel, results.hashCode(), "results after the confirmed cancel");
            }
        }
    }

    @Property(tries = 100, seed = "42", shrinking = ShrinkingMode.OFF)
    void everyItemEndsOnceThroughFaultsFreezesAndDeaths(@ForAll long seed) {
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
