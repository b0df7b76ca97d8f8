package org.sardinelift.core.resume;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.sardinelift.core.plan.SoftwareVersion;

/**
 * The software versions that began streams, by hash of the stream, for as long as a stream may be
 * resumed. Bounded: the oldest are dropped. Times are nanoseconds of a monotonic clock. Not
 * thread-safe.
 */
public final class StreamOrigins {
    private final long lifetimeNanos;
    private final int maxStreams;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();
    private long droppedCount;

    /**
     * Where a stream begins.
     *
     * @param stream hash of the stream
     * @param version version of the target that it was sent to
     * @param send number of that send; a later one, before the first event, replaces it
     */
    public record Origin(long stream, SoftwareVersion version, int send) {}

    private record Entry(Origin origin, String source, boolean isAmbiguous, long at) {}

    private StreamOrigins(Duration lifetime, int maxStreams) {
        this.lifetimeNanos = lifetime.toNanos();
        this.maxStreams = maxStreams;
    }

    /**
     * Creates a table without streams.
     *
     * @param lifetime time for which a stream is kept
     * @param maxStreams bound of the streams
     * @return the table
     */
    public static StreamOrigins create(Duration lifetime, int maxStreams) {
        return new StreamOrigins(lifetime, maxStreams);
    }

    /**
     * Keeps where a stream begins. If two instances have begun a stream under one id, at two
     * versions, it is not known which events its caller has.
     *
     * @param origin where it begins
     * @param source instance that sends it
     * @param now the time
     */
    public void put(Origin origin, String source, long now) {
        dropExpired(now);
        Entry known = entries.get(origin.stream());
        boolean isSameSource = known == null || known.source().equals(source);
        if (isSameSource && known != null && known.origin().send() > origin.send()) {
            return;
        }
        boolean isAmbiguous =
                known != null
                        && (known.isAmbiguous()
                                || !isSameSource
                                        && !known.origin().version().equals(origin.version()));
        entries.remove(origin.stream());
        entries.put(origin.stream(), new Entry(origin, source, isAmbiguous, now));
        if (entries.size() > maxStreams) {
            dropOldest();
            droppedCount++;
        }
    }

    private void dropExpired(long now) {
        while (!entries.isEmpty()
                && now - entries.values().iterator().next().at() >= lifetimeNanos) {
            dropOldest();
        }
    }

    private void dropOldest() {
        Iterator<Entry> oldest = entries.values().iterator();
        oldest.next();
        oldest.remove();
    }

    /**
     * Finds the version that began a stream.
     *
     * @param stream hash of the stream
     * @param now the time
     * @return the version, or empty if it is not known
     */
    public Optional<SoftwareVersion> find(long stream, long now) {
        return Optional.ofNullable(entries.get(stream))
                .filter(entry -> !entry.isAmbiguous() && now - entry.at() < lifetimeNanos)
                .map(entry -> entry.origin().version());
    }

    /**
     * The streams that began lately.
     *
     * @param period how long ago at most
     * @param now the time
     * @return where they begin
     */
    public Stream<Origin> begunWithin(Duration period, long now) {
        return entries.values().stream()
                .filter(entry -> now - entry.at() < period.toNanos())
                .map(Entry::origin);
    }

    /**
     * Counts the streams.
     *
     * @return their number
     */
    public int size() {
        return entries.size();
    }

    /**
     * Counts the streams dropped before their time because of the bound.
     *
     * @return their number
     */
    public long droppedCount() {
        return droppedCount;
    }
}
