package org.sardinelift.entry.batch;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.sardinelift.core.batch.ChunkResult;
import org.sardinelift.core.batch.JobState;
import org.sardinelift.objects.ObjectKey;

/** Writes the result objects of one job. They count only once the job's state names them. */
final class ResultWriter {
    /** Kind of the result objects. */
    static final String KIND = "job-result";

    private final JobStore store;
    private final String job;
    private final int maxBytes;

    ResultWriter(JobStore store, String job, int maxBytes) {
        this.store = store;
        this.job = job;
        this.maxBytes = maxBytes;
    }

    static ObjectKey resultKey(String job, int chunk, String writeId, int part) {
        return new ObjectKey(KIND, job + "/" + chunk + "-" + writeId + "-" + part);
    }

    /** Writes a chunk's results, with retries until it succeeds. */
    void write(ChunkRun chunk, String writeId, Consumer<ChunkResult> done) {
        List<String> parts = chunk.seal(maxBytes);
        ChunkResult result = chunk.result(writeId, parts.size());
        int[] remaining = {parts.size()};
        for (int part = 0; part < parts.size(); part++) {
            store.create(
                    resultKey(job, chunk.number(), writeId, part),
                    parts.get(part),
                    Integer.MAX_VALUE,
                    written -> {
                        remaining[0]--;
                        if (remaining[0] == 0) {
                            done.accept(result);
                        }
                    });
        }
    }

    /** Deletes results that the state does not name. */
    void deleteUncommitted(Map<Integer, ChunkResult> results, JobState state) {
        results.forEach(
                (chunk, result) -> {
                    if (!result.equals(state.chunks().get(chunk))) {
                        delete(chunk, result);
                    }
                });
    }

    void delete(int chunk, ChunkResult result) {
        resultKeys(job, chunk, result).forEach(store::deleteAnyVersion);
    }

    /** Keys of the objects that hold a chunk's results. */
    static Stream<ObjectKey> resultKeys(String job, int chunk, ChunkResult result) {
        return IntStream.range(0, result.parts())
                .mapToObj(part -> resultKey(job, chunk, result.writeId(), part));
    }
}
