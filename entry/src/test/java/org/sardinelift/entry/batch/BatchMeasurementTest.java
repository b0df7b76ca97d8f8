package org.sardinelift.entry.batch;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.batch.ChunkPacker;
import org.sardinelift.core.explain.DecisionLog;
import org.sardinelift.core.explain.DecisionRecorder;
import org.sardinelift.core.fleet.FleetView;
import org.sardinelift.runtime.ControlThread;
import org.sardinelift.testkit.FakeObjectStore;

/**
 * Compares batch work in virtual time with two simpler designs and prints a table: one write per
 * item, and jobs split over entries without takeover. Only counts and virtual times are asserted;
 * items per second of processor time are only printed.
 */
class BatchMeasurementTest {
    private static final int ITEMS = 20_000;
    private static final int LARGEST_JOB = 89_000;
    private static final int JOBS = 12;
    private static final int JOB_ITEMS = 400;
    private static final Duration CALL_TIME = Duration.ofMillis(200);

    private record Cost(double writesPerItem, double callsPerItem, double itemsPerSecond) {}

    private record Loss(int completed, double firstTakeoverSeconds, double endSeconds) {}

    private static Cost measureCost(ChunkPacker packer, int items) {
        Fleet fleet = new Fleet();
        CountingStore store = new CountingStore(new FakeObjectStore());
        BatchSettings settings = TestSettings.withPacker(packer);
        Fleet.Node entry = fleet.start("e1", store, settings);
        fleet.advance(Duration.ofSeconds(10));
        int writes = store.writes();
        int calls = store.calls();
        long start = System.nanoTime();
        AtomicReference<Reply> reply = fleet.submit(entry, "evening", Fleet.chatLines(items));
        while (completed(fleet, entry, reply) < items) {
            fleet.advance(Duration.ofMillis(100));
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        return new Cost(
                (double) (store.writes() - writes) / items,
                (double) (store.calls() - calls) / items,
                items / seconds);
    }

    private static int completed(Fleet fleet, Fleet.Node entry, AtomicReference<Reply> job) {
        if (job.get() == null) {
            return 0;
        }
        AtomicReference<Reply> status = fleet.status(entry, job.get().body().path("id").asText());
        fleet.advance(Duration.ofMillis(1));
        return status.get().body().path("request_counts").path("completed").asInt();
    }

    /** Three entries hold twelve jobs; one is killed early. */
    private static Loss measureEntryLoss(boolean takeover) {
        Fleet fleet = new Fleet();
        FakeObjectStore store = new FakeObjectStore();
        VirtualControl.Entry engine = fleet.time().newEntry();
        fleet.dispatcher().setSlots(60);
        fleet.dispatcher()
                .setBehaviour(
                        (spec, listener) ->
                                engine.schedule(
                                        CALL_TIME, () -> FakeDispatcher.answer(spec, listener)));
        BatchSettings settings =
                takeover
                        ? BatchSettings.defaults()
                        : TestSettings.withLeaseTimeout(Duration.ofDays(1));
        List<Fleet.Node> nodes =
                IntStream.rangeClosed(1, 3)
                        .mapToObj(number -> fleet.start("e" + number, store, settings))
                        .toList();
        fleet.advance(Duration.ofSeconds(10));
        List<AtomicReference<Reply>> jobs = new ArrayList<>();
        for (int n = 0; n < JOBS; n++) {
            jobs.add(fleet.submit(nodes.get(0), "job" + n, Fleet.chatLines(JOB_ITEMS)));
            fleet.advance(Duration.ofMillis(1));
        }
        fleet.advance(Duration.ofSeconds(3));
        double died = fleet.time().nanos() / 1e9;
        nodes.get(2).control().kill();
        Fleet.Node reader = nodes.get(0);
        List<Integer> before = jobsHeldBy(fleet, reader, jobs, "e3");
        double first = -1;
        while (fleet.time().nanos() / 1e9 - died < 120
                && jobs.stream().mapToInt(job -> completed(fleet, reader, job)).sum()
                        < JOBS * JOB_ITEMS) {
            fleet.advance(Duration.ofMillis(200));
            if (first < 0 && jobsHeldBy(fleet, reader, jobs, "e3").size() < before.size()) {
                first = fleet.time().nanos() / 1e9 - died;
            }
        }
        int done = jobs.stream().mapToInt(job -> completed(fleet, reader, job)).sum();
        return new Loss(done, first, fleet.time().nanos() / 1e9 - died);
    }

    private static List<Integer> jobsHeldBy(
            Fleet fleet, Fleet.Node reader, List<AtomicReference<Reply>> jobs, String holder) {
        return IntStream.range(0, jobs.size())
                .filter(
                        n -> {
                            AtomicReference<Reply> status =
                                    fleet.status(
                                            reader, jobs.get(n).get().body().path("id").asText());
                            fleet.advance(Duration.ofMillis(1));
                            return status.get().body().path("holder").asText().equals(holder);
                        })
                .boxed()
                .toList();
    }

    @Test
    void chunksNeedFarFewerCallsThanSingleItems() {
        measureCost(new ChunkPacker(500, 32, 900_000), ITEMS);
        Cost chunks = measureCost(new ChunkPacker(500, 32, 900_000), ITEMS);
        Cost single = measureCost(new ChunkPacker(1, 1, 900_000), ITEMS / 20);
        print("way               writes/item  calls/item  items/s");
        print("chunks of 500     %11.5f  %10.5f  %7.0f", chunks);
        print("one write an item %11.5f  %10.5f  %7.0f", single);
        assertTrue(chunks.writesPerItem() <= 1.0 / 200, "writes per item");
        assertTrue(single.writesPerItem() > 2, "the simpler way writes each item and result");
    }

    @Test
    void theJobsOfALostEntryAreTakenOverWithinSeconds() {
        Loss claims = measureEntryLoss(true);
        Loss split = measureEntryLoss(false);
        print("way          completed of " + JOBS * JOB_ITEMS + "  takeover s  end s");
        print(row("claims", claims));
        print(row("static split", split));
        assertEquals(JOBS * JOB_ITEMS, claims.completed());
        assertTrue(claims.firstTakeoverSeconds() > 0 && claims.firstTakeoverSeconds() < 10);
        assertTrue(split.completed() < JOBS * JOB_ITEMS, "without takeover work is lost");
    }

    @Test
    void anEntryOnItsOwnThreadsCompletesAJobOfMaximumSize() throws InterruptedException {
        try (ControlThread control = ControlThread.start("batch");
                BatchService service =
                        BatchService.start(
                                new FakeObjectStore(),
                                new FakeDispatcher(),
                                () -> Fleet.CATALOG,
                                FleetView::empty,
                                "e1",
                                control,
                                BatchSettings.defaults(),
                                JobDecisions.of(DecisionRecorder.of(DecisionLog.of(1), () -> 0)))) {
            BlockingQueue<Reply> replies = new LinkedBlockingQueue<>();
            byte[] body = Fleet.chatLines(LARGEST_JOB).getBytes(StandardCharsets.UTF_8);
            long start = System.nanoTime();
            service.acceptance()
                    .submit(Fleet.COMPLIANCE, "evening", Long.MAX_VALUE, body, replies::add);
            Reply accepted = replies.take();
            double acceptSeconds = (System.nanoTime() - start) / 1e9;
            String id = accepted.body().path("id").asText();
            await().atMost(Duration.ofMinutes(2))
                    .pollInterval(Duration.ofMillis(100))
                    .until(
                            () -> {
                                control.execute(
                                        () ->
                                                service.reader()
                                                        .status("compliance", id, replies::add));
                                return replies.take().body().toString().contains("completed\",");
                            });
            double seconds = (System.nanoTime() - start) / 1e9;
            print(
                    String.format(
                            Locale.ROOT,
                            "one entry, own threads: %d items, accepted after %.2f s, %.0f items/s",
                            LARGEST_JOB,
                            acceptSeconds,
                            LARGEST_JOB / seconds));
            assertEquals(201, accepted.status());
        }
    }

    private static String row(String name, Loss loss) {
        return String.format(
                Locale.ROOT,
                "%-12s %17d  %10.1f  %5.1f",
                name,
                loss.completed(),
                loss.firstTakeoverSeconds(),
                loss.endSeconds());
    }

    private static void print(String format, Cost cost) {
        print(
                String.format(
                        Locale.ROOT,
                        format,
                        cost.writesPerItem(),
                        cost.callsPerItem(),
                        cost.itemsPerSecond()));
    }

    private static void print(String line) {
        System.out.println(line);
    }
}
