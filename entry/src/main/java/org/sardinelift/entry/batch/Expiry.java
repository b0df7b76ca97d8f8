package org.sardinelift.entry.batch;

import com.fasterxml.jackson.databind.JsonNode;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.StoredObject;

/**
 * Time at which a job is checked for removal. The object's name starts with the shard and the time
 * bucket, so that the expiries that are due are listed without the others.
 *
 * @param team team of the job
 * @param id the job
 * @param createdMs time of acceptance, epoch milliseconds; differs for jobs with the same job key
 * @param chunkSet name prefix of its chunks
 * @param chunkCount number of its chunks
 * @param dueMs time of the check, epoch milliseconds
 */
record Expiry(String team, String id, long createdMs, String chunkSet, int chunkCount, long dueMs) {
    /** Kind of these objects. */
    static final String KIND = "job-expiry";

    /** Number of shards of the expiries; each is swept by one entry at a time. */
    static final int SHARDS = 8;

    /** Length of a time bucket, whose expiries are listed together, milliseconds. */
    static final long BUCKET_MS = 60_000;

    static Expiry of(JobHeader header, long dueMs) {
        return new Expiry(
                header.team(),
                header.id(),
                header.createdMs(),
                header.chunkSet(),
                header.chunkItems().size(),
                dueMs);
    }

    static Expiry of(StoredObject object) {
        JsonNode node = BatchJson.parseStored(object.value());
        return new Expiry(
                node.path("team").asText(),
                node.path("id").asText(),
                node.path("createdMs").asLong(),
                node.path("chunkSet").asText(),
                node.path("chunks").asInt(),
                node.path("dueMs").asLong());
    }

    Expiry withDueMs(long nextMs) {
        return new Expiry(team, id, createdMs, chunkSet, chunkCount, nextMs);
    }

    ObjectKey key() {
        int shard = Math.floorMod(id.hashCode(), SHARDS);
        return new ObjectKey(KIND, namePrefix(shard, dueMs / BUCKET_MS) + id + "/" + createdMs);
    }

    ObjectKey chunkKey(int number) {
        return new ObjectKey(JobHeader.CHUNK_KIND, chunkSet + "/" + number);
    }

    static String namePrefix(int shard) {
        return shard + "/";
    }

    static String namePrefix(int shard, long bucket) {
        return namePrefix(shard) + bucket + "/";
    }

    String toJson() {
        return BatchJson.newObject()
                .put("team", team)
                .put("id", id)
                .put("createdMs", createdMs)
                .put("chunkSet", chunkSet)
                .put("chunks", chunkCount)
                .put("dueMs", dueMs)
                .toString();
    }
}
