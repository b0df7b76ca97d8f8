package org.sardinelift.bench.slope;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.sardinelift.core.batch.ChunkResult;
import org.sardinelift.core.batch.Holder;
import org.sardinelift.core.batch.JobState;
import org.sardinelift.entry.batch.BatchJson;

/** Growth of batch state with the chunks of a job and with the number of jobs. */
final class BatchSlopes {
    private static final int[] CHUNKS = {4, 44, 89, 178};
    private static final int[] JOBS = {64, 256, 1000, 2000};
    private static final int ITEMS_PER_CHUNK = 500;
    private static final int TYPICAL_CHUNKS = 44;
    private static final String INCARNATION = "0b54cf3d-9f0a-4a53-8f0c-1c0a5a1f7a11";

    private BatchSlopes() {}

    static List<Slope> measure() {
        return List.of(
                Slope.measure(
                        "entry, batch",
                        "job-state object",
                        "chunks",
                        "bytes",
                        CHUNKS,
                        chunks -> json(committed(chunks, chunks)).length),
                Slope.measure(
                        "entry, batch",
                        "commit of a chunk, decided and encoded",
                        "chunks",
                        "ns",
                        CHUNKS,
                        BatchSlopes::commitTime),
                Slope.measure(
                        "entry, batch",
                        "jobs held, half of 44 chunks done",
                        "jobs",
                        "bytes",
                        JOBS,
                        jobs -> Measurements.medianHeapBytes(() -> jobStates(jobs))));
    }

    private static double commitTime(int chunks) {
        JobState state = committed(chunks, chunks - 1);
        Map<Integer, ChunkResult> last = Map.of(chunks - 1, result(chunks - 1));
        return Measurements.medianNanos(() -> json(state.commit(state.fence(), last)));
    }

    private static List<JobState> jobStates(int jobs) {
        return IntStream.range(0, jobs)
                .mapToObj(job -> committed(TYPICAL_CHUNKS, TYPICAL_CHUNKS / 2))
                .toList();
    }

    private static JobState committed(int chunks, int done) {
        JobState claimed =
                JobState.initial("team-1", chunks * ITEMS_PER_CHUNK, chunks)
                        .claim(new Holder("entry-1", INCARNATION));
        Map<Integer, ChunkResult> results = new HashMap<>();
        IntStream.range(0, done).forEach(chunk -> results.put(chunk, result(chunk)));
        return claimed.commit(claimed.fence(), results);
    }

    private static ChunkResult result(int chunk) {
        return new ChunkResult("1-" + INCARNATION + "-" + chunk, 1, ITEMS_PER_CHUNK, 0, 0);
    }

    private static byte[] json(JobState state) {
        return BatchJson.state(state).getBytes(StandardCharsets.UTF_8);
    }
}
