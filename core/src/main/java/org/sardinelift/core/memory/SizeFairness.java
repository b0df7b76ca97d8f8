package org.sardinelift.core.memory;

import java.util.Arrays;

/**
 * Keeps the largest requests of a service from starving.
 *
 * <p>Small requests fit into the room that is left between others, so that a large one would find
 * room only when little is asked for. While the largest tenth of the requests is admitted clearly
 * less often than all, every request is admitted only where a request of the largest tenth would
 * fit, so that all sizes are refused equally often. Not thread-safe.
 */
final class SizeFairness {
    private static final int SAMPLE = 256;

    /** Requests after which the limit of the largest tenth is computed again. */
    private static final int UPDATE_INTERVAL = 8;

    /** The counts halve after this many requests, so that they follow a change of the traffic. */
    private static final int COUNT_LIMIT = 2_000;

    private static final double LARGE_QUANTILE = 0.9;

    /** Most of the largest tenth is not larger than this quantile. */
    private static final double ROOM_QUANTILE = 0.97;

    /** The stated target is 0.5; with 0.75 a model of 200 instances fell to 0.49. */
    private static final double MIN_RATIO = 0.9;

    private final long[] sizes = new long[SAMPLE];
    private long seen;
    private long largeSize = Long.MAX_VALUE;
    private long roomSize;
    private double asked;
    private double admitted;
    private double largeAsked;
    private double largeAdmitted;

    /** A request was asked for, and admitted or refused for lack of memory. */
    void onDecision(long size, boolean isAdmitted) {
        sizes[(int) (seen % SAMPLE)] = size;
        seen++;
        if (seen % UPDATE_INTERVAL == 0) {
            updateQuantiles();
        }
        asked++;
        admitted += isAdmitted ? 1 : 0;
        if (size >= largeSize) {
            largeAsked++;
            largeAdmitted += isAdmitted ? 1 : 0;
        }
        if (asked > COUNT_LIMIT) {
            asked /= 2;
            admitted /= 2;
            largeAsked /= 2;
            largeAdmitted /= 2;
        }
    }

    private void updateQuantiles() {
        int count = (int) Math.min(seen, SAMPLE);
        long[] sorted = Arrays.copyOf(sizes, count);
        Arrays.sort(sorted);
        largeSize = sorted[(int) (LARGE_QUANTILE * count)];
        roomSize = sorted[Math.min(count - 1, (int) (ROOM_QUANTILE * count))];
    }

    /** Room that a target must have for any request, so that the largest tenth is not starved. */
    long roomToKeep() {
        boolean isBehind =
                largeAsked >= 2 && largeAdmitted / largeAsked < MIN_RATIO * admitted / asked;
        return isBehind ? roomSize : 0;
    }
}
