package org.sardinelift.core.joblog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Several workers run one job with a store that creates each record once but loses answers and
 * applies calls late. Guards against an item with two positions or none, and against results that
 * change after a reader has seen them, or that are joined of parts by several workers.
 */
class JobRecordsPropertyTest {
    private static final int ITEMS = 12;

    /** Store that creates each record once; late calls wait until they take effect. */
    private static final class Store {
        private final Map<Integer, List<RecordEntry>> records = new TreeMap<>();
        private final List<Runnable> late = new ArrayList<>();
        private final Map<JobProgress, String> series = new IdentityHashMap<>();
        private final Set<String> outputs = new HashSet<>();

        String series(JobProgress worker) {
            return series.computeIfAbsent(worker, key -> "s" + series.size());
        }

        boolean create(int number, List<RecordEntry> results) {
            return records.putIfAbsent(number, results) == null;
        }
    }

    private static JobProgress job() {
        return JobProgress.of(
                new JobSpec(
                        "j",
                        "team",
                        "route",
                        "host",
                        0,
                        IntStream.range(0, ITEMS)
                                .mapToObj(i -> new JobItem("i" + i, "/p", Map.of(), new byte[0], 0))
                                .toList()));
    }

    @Property(tries = 500)
    void eachItemGetsOnePosition(@ForAll long seed) {
        Random random = new Random(seed);
        Store store = new Store();
        List<JobProgress> workers = new ArrayList<>(List.of(job(), job(), job()));
        List<String> seen = new ArrayList<>();
        for (int step = 0; step < 20_000 && !workers.get(0).isClosed(); step++) {
            int index = random.nextInt(workers.size());
            step(random, store, workers, index);
            assertSeenUnchanged(workers.get(index), seen);
        }
        store.late.forEach(Runnable::run);

        JobProgress reader = job();
        store.records.forEach(reader::applyRecord);
        List<String> positions =
                reader.results(0, Integer.MAX_VALUE).stream().map(ItemResult::itemId).toList();
        assertEquals(ITEMS, positions.size());
        assertEquals(ITEMS, new HashSet<>(positions).size());
        reader.results(0, Integer.MAX_VALUE)
                .forEach(result -> assertTrue(store.outputs.contains(result.output())));
    }

    private static void step(Random random, Store store, List<JobProgress> workers, int index) {
        JobProgress worker = workers.get(index);
        switch (random.nextInt(6)) {
            case 0 -> {
                List<ItemProgress> open = worker.openItems().toList();
                if (!open.isEmpty()) {
                    ItemProgress item = open.get(random.nextInt(open.size()));
                    String output =
                            ("by worker " + index + ", " + store.outputs.size() + ";")
                                    .repeat(1 + random.nextInt(20));
                    store.outputs.add(output);
                    worker.onResult(ItemResult.completed(item.item().id(), output));
                }
            }
            case 1, 2 -> record(random, store, worker);
            case 3 -> {
                // A watch reports the next record.
                int next = worker.nextRecord();
                if (store.records.containsKey(next)) {
                    worker.applyRecord(next, store.records.get(next));
                }
            }
            case 4 -> {
                if (!store.late.isEmpty()) {
                    store.late.remove(random.nextInt(store.late.size())).run();
                }
            }
            default -> {
                if (random.nextInt(40) == 0) {
                    // The worker is lost with its state.
                    workers.set(index, job());
                }
            }
        }
    }

    private static void record(Random random, Store store, JobProgress worker) {
        List<RecordEntry> batch =
                worker.nextEntries(100 + random.nextInt(900), store.series(worker));
        if (batch.isEmpty()) {
            return;
        }
        int number = worker.nextRecord();
        switch (random.nextInt(4)) {
            case 0 -> store.late.add(() -> store.create(number, batch));
            case 1 -> store.create(number, batch);
            default -> {
                store.create(number, batch);
                worker.applyRecord(number, store.records.get(number));
            }
        }
    }

    private static void assertSeenUnchanged(JobProgress worker, List<String> seen) {
        List<ItemResult> results = worker.results(0, Integer.MAX_VALUE);
        for (int i = 0; i < results.size(); i++) {
            String result = results.get(i).itemId() + " " + results.get(i).output();
            if (i < seen.size()) {
                assertEquals(seen.get(i), result);
            } else {
                seen.add(result);
            }
        }
        assertTrue(seen.size() <= ITEMS);
    }
}
