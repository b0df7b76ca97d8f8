package org.sardinelift.standins.engine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.IntStream;

/** Cache of prompt prefixes in blocks; evicts the least recently used. Not thread-safe. */
final class PrefixCache {
    static final int BLOCK_TOKENS = 16;
    private static final int BLOCK_CHARS = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<Long, Boolean> blocks;

    PrefixCache(int capacity) {
        this.blocks =
                new LinkedHashMap<>(16, LOAD_FACTOR, true) {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                        return size() > capacity;
                    }
                };
    }

    /** Caches all whole blocks of a prompt; returns how many of its tokens were cached before. */
    int addAndCountHits(String prompt) {
        int blockCount = prompt.length() / BLOCK_CHARS;
        long[] hashes =
                IntStream.rangeClosed(1, blockCount)
                        .mapToLong(
                                count -> EngineText.seed(prompt.substring(0, count * BLOCK_CHARS)))
                        .toArray();
        int hits = 0;
        while (hits < hashes.length && blocks.containsKey(hashes[hits])) {
            hits++;
        }
        for (long hash : hashes) {
            blocks.put(hash, Boolean.TRUE);
        }
        return hits * BLOCK_TOKENS;
    }
}
