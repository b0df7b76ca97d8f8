package org.sardinelift.core.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * Splits items, in order, into chunks that each fit one object of the platform.
 *
 * @param maxItems most items in a chunk
 * @param maxUnrepeatable most items in a chunk with a call that must not be repeated; bounds how
 *     many items end with an unknown outcome when the entry that runs the job is lost
 * @param maxBytes most bytes in a chunk
 */
public record ChunkPacker(int maxItems, int maxUnrepeatable, int maxBytes) {

    /**
     * Splits items into chunks.
     *
     * @param items the items in order
     * @param bytes size of an item in a chunk, bytes
     * @param repeatable whether an item's call may be repeated
     * @param <T> type of item
     * @return chunks in order, none empty
     */
    public <T> List<List<T>> pack(List<T> items, ToIntFunction<T> bytes, Predicate<T> repeatable) {
        List<List<T>> chunks = new ArrayList<>();
        List<T> chunk = new ArrayList<>();
        int size = 0;
        int limit = maxItems;
        for (T item : items) {
            int next = repeatable.test(item) ? limit : Math.min(limit, maxUnrepeatable);
            boolean full = chunk.size() >= next || size + bytes.applyAsInt(item) > maxBytes;
            if (full && !chunk.isEmpty()) {
                chunks.add(chunk);
                chunk = new ArrayList<>();
                size = 0;
                next = repeatable.test(item) ? maxItems : maxUnrepeatable;
            }
            limit = next;
            chunk.add(item);
            size += bytes.applyAsInt(item);
        }
        if (!chunk.isEmpty()) {
            chunks.add(chunk);
        }
        return chunks;
    }
}
