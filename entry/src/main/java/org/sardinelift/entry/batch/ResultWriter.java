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

    static ObjectKey resultKey(String job, int chunk, String mark, int part) {
        return new ObjectKey(KIND, job + "/" + chunk + "-" + mark + "-" + part);
    }

    /** Writes a chunk's results, however long that takes. */
    void write(ChunkRun chunk, String mark, Consumer<ChunkResult> done) {
        List<String> parts = chunk.seal(maxBytes);
        ChunkResult result = chunk.result(mark, parts.size());
        int[] missing = {parts.size()};
        for (int part = 0; part < parts.size(); part++) {
            store.create(
                    resultKey(job, chunk.number(), mark, part),
                    parts.get(part),
                    Integer.MAX_VALUE,
                    written -> {
                        missing[0]--;
                        if (missing[0] == 0) {
                            done.accept(result);
                        }
                    });
        }
    }

    /** Deletes results that the state does not name. */
    void deleteUncommitted(Map<Integer, ChunkResult> offered, JobState state) {
        offered.forEach(
                (chunk, result) -> {
                    if (!result.equals(state.chunks().get(chunk))) {
                        delete(chunk, result);
                    }
                });
    }

    void delete(int chunk, ChunkResult result) {
        resultKeys(job, chunk, result).forEach(store::deleteAnyVersion);
    }

    /** The objects that hold a chunk's results. */
    static Stream<ObjectKey> resultKeys(String job, int chunk, ChunkResult result) {
        return IntStream.range(0, result.parts())
                .mapToObj(part -> resultKey(job, chunk, result.writeId(), part));
    }
}
