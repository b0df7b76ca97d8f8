package org.sardinelift.entry.batch;

import java.util.List;
import org.sardinelift.core.batch.RemovalStage;
import org.sardinelift.objects.ObjectKey;

/**
 * Header of an accepted job; only its removal stage ever changes.
 *
 * @param id identifier of the job
 * @param team team that the job runs for
 * @param jobKey the caller's own key of the job
 * @param digest digest of the content
 * @param chunkItems number of items of each chunk
 * @param createdMs when it was accepted, epoch milliseconds
 * @param dueMs when it is due, epoch milliseconds, {@link Long#MAX_VALUE} for never
 * @param chunkSet name prefix of the chunks, different for each job that has had this job key
 * @param stage how far the removal of the job has advanced
 * @param stageMs when that stage was reached, epoch milliseconds
 */
record JobHeader(
        String id,
        String team,
        String jobKey,
        String digest,
        List<Integer> chunkItems,
        long createdMs,
        long dueMs,
        String chunkSet,
        RemovalStage stage,
        long stageMs) {
    /** Kind of the headers; their names start with the team. */
    static final String KIND = "job";

    /** Kind of the input chunks. */
    static final String CHUNK_KIND = "job-chunk";

    private static final int DIGEST_CHARS = 32;

    JobHeader {
        chunkItems = List.copyOf(chunkItems);
    }

    /** Creates the header of a job that is being accepted. */
    static JobHeader accepted(
            String team,
            String jobKey,
            String digest,
            List<Integer> chunkItems,
            long createdMs,
            long dueMs) {
        String id = idOf(team, jobKey);
        return new JobHeader(
                id,
                team,
                jobKey,
                digest,
                chunkItems,
                createdMs,
                dueMs,
                defaultChunkSet(id, digest) + "-" + createdMs,
                RemovalStage.LIVE,
                createdMs);
    }

    /** Name prefix of the chunks if the stored header has none. */
    static String defaultChunkSet(String id, String digest) {
        return id + "/" + digest.substring(0, DIGEST_CHARS);
    }

    JobHeader withStage(RemovalStage next, long nowMs) {
        return new JobHeader(
                id, team, jobKey, digest, chunkItems, createdMs, dueMs, chunkSet, next, nowMs);
    }

    static ObjectKey key(String team, String id) {
        return new ObjectKey(KIND, team + "/" + id);
    }

    static String idOf(String team, String jobKey) {
        return "batch-" + Digests.sha256(team + "\n" + jobKey).substring(0, DIGEST_CHARS);
    }

    ObjectKey key() {
        return key(team, id);
    }

    ObjectKey chunkKey(int number) {
        return new ObjectKey(CHUNK_KIND, chunkSet + "/" + number);
    }

    int itemCount() {
        return chunkItems.stream().mapToInt(Integer::intValue).sum();
    }
}
