package org.sardinelift.bench.load;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;

/** Results of one run of load. */
public final class LoadResult {
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long MAX_MICROS = 120_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram firstMicros = new SynchronizedHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram gapMicros = new SynchronizedHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final ConcurrentLinkedQueue<Sample> samples = new ConcurrentLinkedQueue<>();
    private final LongAdder sent = new LongAdder();
    private volatile double seconds;

    void onSend() {
        sent.increment();
    }

    void onSample(Sample sample) {
        samples.add(sample);
        if (sample.isServed()) {
            firstMicros.recordValue(micros(sample.firstTokenNanos()));
        }
    }

    void onGap(long nanos) {
        gapMicros.recordValue(micros(nanos));
    }

    void onEnd(double elapsedSeconds) {
        seconds = elapsedSeconds;
    }

    /**
     * Returns the times from the planned arrival to the first token.
     *
     * @return histogram, microseconds
     */
    public Histogram timeToFirstToken() {
        return firstMicros;
    }

    /**
     * Returns the times between two tokens.
     *
     * @return histogram, microseconds
     */
    public Histogram interTokenLatency() {
        return gapMicros;
    }

    /**
     * Returns the number of requests with a complete answer.
     *
     * @return the number
     */
    public long served() {
        return samples.stream().filter(Sample::isServed).count();
    }

    /**
     * Returns the number of requests that had neither a complete answer nor a refusal over the
     * team's rate. Requests without an answer when the run timed out are included.
     *
     * @return the number
     */
    public long failed() {
        return sent.sum()
                - samples.stream().filter(each -> each.isServed() || each.isRateLimited()).count();
    }

    /**
     * Returns the number of tokens received.
     *
     * @return the number
     */
    public long tokens() {
        return samples.stream().mapToLong(Sample::tokens).sum();
    }

    /**
     * Returns the length of the run.
     *
     * @return seconds from the first arrival to the last answer
     */
    public double seconds() {
        return seconds;
    }

    /**
     * Returns the results of each team.
     *
     * @return counts by team
     */
    public Map<String, TeamCounts> teams() {
        Map<String, TeamCounts> counts = new LinkedHashMap<>();
        samples.stream()
                .sorted(Comparator.comparing(each -> each.arrival().team().name()))
                .forEach(
                        each ->
                                counts.merge(
                                        each.arrival().team().name(),
                                        TeamCounts.of(each),
                                        TeamCounts::plus));
        return counts;
    }

    /**
     * Returns the team with the smallest served part of its requests within the rate.
     *
     * @return the team and its counts, or empty if no request was within the rate
     */
    public Optional<Map.Entry<String, TeamCounts>> worstServed() {
        return teams().entrySet().stream()
                .filter(each -> each.getValue().withinRate() > 0)
                .min(Comparator.comparingDouble(each -> each.getValue().servedFraction()));
    }

    /**
     * Returns the number of requests refused although they were within the team's rate.
     *
     * @return the number
     */
    public long wronglyRefused() {
        return teams().values().stream().mapToLong(TeamCounts::wronglyRefused).sum();
    }

    /**
     * Returns a percentile in milliseconds.
     *
     * @param histogram one of the histograms
     * @param percentile from 0 to 100
     * @return milliseconds
     */
    public static double millis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / 1_000.0;
    }

    private static long micros(long nanos) {
        return Math.min(MAX_MICROS, Math.max(0, nanos / NANOS_PER_MICRO));
    }
}
