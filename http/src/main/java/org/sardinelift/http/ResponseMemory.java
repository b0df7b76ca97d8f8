package org.sardinelift.http;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/**
 * Bounds the memory that incomplete responses hold together. A faulty peer may send without end,
 * over many connections; each response has a bound of its own, but a few of them would fill the
 * heap, and whatever else allocates then would fail.
 *
 * <p>When the bound is exceeded, the responses that hold most are failed until the rest fits, so
 * that small ones go on. The cost of a part of a response is a look-up, and beyond the bound a pass
 * over all incomplete responses. Thread-safe.
 */
public final class ResponseMemory {
    /** Leaves room for the copy of a response that has just been completed, and for all else. */
    private static final int HEAP_DIVISOR = 3;

    private static final ResponseMemory OF_PROCESS =
            ofBytes(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);

    private final long maxBytes;
    private final Map<Holder, Long> heldBytes = new IdentityHashMap<>();
    private long totalBytes;
    private long evictionCount;

    /** An incomplete response. */
    interface Holder {
        /** Bytes that it holds in memory now. */
        long heldBytes();

        /** Fails it, so that it holds nothing more. */
        void evict(String reason);
    }

    private ResponseMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Returns the bound that all clients of this process share: a third of the heap.
     *
     * @return the shared bound
     */
    public static ResponseMemory ofProcess() {
        return OF_PROCESS;
    }

    /**
     * Creates a bound.
     *
     * @param maxBytes most bytes that incomplete responses may hold together
     * @return the bound
     */
    public static ResponseMemory ofBytes(long maxBytes) {
        return new ResponseMemory(maxBytes);
    }

    /** A response has received a part. */
    void onChanged(Holder holder) {
        String reason = "incomplete responses hold more than %d bytes, and this one most";
        selectEvicted(holder).forEach(evicted -> evicted.evict(reason.formatted(maxBytes)));
    }

    private synchronized List<Holder> selectEvicted(Holder changed) {
        set(changed, changed.heldBytes());
        if (totalBytes <= maxBytes) {
            return List.of();
        }
        // What a caller reads of a response is freed without notice.
        List.copyOf(heldBytes.keySet()).forEach(holder -> set(holder, holder.heldBytes()));
        List<Holder> evicted = new ArrayList<>();
        heldBytes.entrySet().stream()
                .sorted(Map.Entry.<Holder, Long>comparingByValue().reversed())
                .map(Map.Entry::getKey)
                .toList()
                .forEach(
                        holder -> {
                            if (totalBytes > maxBytes) {
                                set(holder, 0);
                                evicted.add(holder);
                            }
                        });
        evictionCount += evicted.size();
        return evicted;
    }

    private void set(Holder holder, long bytes) {
        Long before = bytes == 0 ? heldBytes.remove(holder) : heldBytes.put(holder, bytes);
        totalBytes += bytes - (before == null ? 0 : before);
    }

    /** A response has ended, and nothing of it is held any more. */
    synchronized void onEnded(Holder holder) {
        set(holder, 0);
    }

    /**
     * Bytes that incomplete responses hold, as far as their last parts show.
     *
     * @return number of bytes
     */
    public synchronized long totalBytes() {
        return totalBytes;
    }

    /**
     * Number of responses that were failed for their memory.
     *
     * @return number since the start
     */
    public synchronized long evictionCount() {
        return evictionCount;
    }
}
