package org.sardinelift.core.load;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What the responses of a target show of the version of its weights. A request that expects another
 * version is not sent there for a while. It is sent again later, since weights change in place and
 * no other response may show that. Times are nanoseconds of a monotonic clock. Not thread-safe.
 */
public final class WeightVersions {
    /** Time for which a response is taken to show the weights that the target has. */
    static final Duration VALIDITY = Duration.ofSeconds(1);

    /** Callers choose the versions that they expect. */
    private static final int MAX_REFUSED_VERSIONS = 64;

    private final Map<String, Long> refusedAt = new LinkedHashMap<>();
    private String statedVersion = "";
    private long statedAt;

    private WeightVersions() {}

    /**
     * Creates the versions of a target that has sent no response yet.
     *
     * @return versions by which the target may have any weights
     */
    public static WeightVersions create() {
        return new WeightVersions();
    }

    /**
     * A response stated the version of the weights.
     *
     * @param version the version
     * @param now the time
     */
    public void onStated(String version, long now) {
        statedVersion = version;
        statedAt = now;
        refusedAt.remove(version);
    }

    /**
     * The target rejected a request for the version that it expects.
     *
     * @param expectedVersion the version that the request expects
     * @param now the time
     */
    public void onRefused(String expectedVersion, long now) {
        refusedAt.values().removeIf(at -> nanosLeft(at, now) == 0);
        refusedAt.remove(expectedVersion);
        refusedAt.put(expectedVersion, now);
        if (refusedAt.size() > MAX_REFUSED_VERSIONS) {
            refusedAt.remove(refusedAt.keySet().iterator().next());
        }
        if (statedVersion.equals(expectedVersion)) {
            statedVersion = "";
        }
    }

    /**
     * Time until a request may be sent to the target.
     *
     * @param expectedVersion the version that the request expects
     * @param now the time
     * @return nanoseconds, 0 if the target may have the version now
     */
    public long nanosUntilRequest(String expectedVersion, long now) {
        if (statedVersion.equals(expectedVersion)) {
            return 0;
        }
        long untilStatementExpires = statedVersion.isEmpty() ? 0 : nanosLeft(statedAt, now);
        Long refused = refusedAt.get(expectedVersion);
        return Math.max(untilStatementExpires, refused == null ? 0 : nanosLeft(refused, now));
    }

    private static long nanosLeft(long since, long now) {
        return Math.max(0, VALIDITY.toNanos() - (now - since));
    }
}
