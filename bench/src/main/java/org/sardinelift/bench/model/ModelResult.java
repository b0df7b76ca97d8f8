package org.sardinelift.bench.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Results of a simulated run. */
public final class ModelResult {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double PERCENT = 100;

    private final List<Long> firstEventNanos = new ArrayList<>();
    private int calls;
    private int inTime;
    private int inTimeAfterRetry;
    private int late;
    private int refused;
    private int items;
    private int itemsInTime;
    private int itemsLate;
    private int preemptions;
    private double busyFraction;

    void onCall() {
        calls++;
    }

    void onFirstEvent(long sinceFirstAttempt, boolean isInTime, boolean isRetry) {
        firstEventNanos.add(sinceFirstAttempt);
        if (!isInTime) {
            late++;
        } else if (isRetry) {
            inTimeAfterRetry++;
        } else {
            inTime++;
        }
    }

    void onRefused() {
        refused++;
    }

    void onItemSubmitted() {
        items++;
    }

    void onItemCompleted(boolean isInTime) {
        if (isInTime) {
            itemsInTime++;
        } else {
            itemsLate++;
        }
    }

    void onMeasurementEnd(double fraction) {
        busyFraction = fraction;
    }

    /**
     * Returns the fraction of slots in use while calls arrived.
     *
     * @return fraction of all slots, 0 to 1
     */
    public double busyFraction() {
        return busyFraction;
    }

    void onPreemption() {
        preemptions++;
    }

    /**
     * Returns the calls whose first event came within the objective on the first attempt.
     *
     * @return fraction of all calls, 0 to 1
     */
    public double inTime() {
        return fraction(inTime, calls);
    }

    /**
     * Returns the calls that were refused once and whose first event came within the objective of
     * the second attempt.
     *
     * @return fraction of all calls, 0 to 1
     */
    public double inTimeAfterRetry() {
        return fraction(inTimeAfterRetry, calls);
    }

    /**
     * Returns the calls whose first event came after the objective.
     *
     * @return fraction of all calls, 0 to 1
     */
    public double late() {
        return fraction(late, calls);
    }

    /**
     * Returns the calls that were refused twice or disconnected before their first event.
     *
     * @return fraction of all calls, 0 to 1
     */
    public double refused() {
        return fraction(refused, calls);
    }

    /**
     * Returns the batch items that were completed in time.
     *
     * @return fraction of all items, 0 to 1; 1 if there were none
     */
    public double itemsInTime() {
        return items == 0 ? 1 : fraction(itemsInTime, items);
    }

    /**
     * Returns the batch items that were completed late.
     *
     * @return fraction of all items, 0 to 1
     */
    public double itemsLate() {
        return fraction(itemsLate, items);
    }

    /**
     * Returns the preemptions per completed batch item.
     *
     * @return preemptions per item
     */
    public double preemptionsPerItem() {
        return fraction(preemptions, itemsInTime + itemsLate);
    }

    /**
     * Returns a quantile of the time from the first attempt to the first event, of the calls that
     * got one.
     *
     * @param quantile 0 to 1
     * @return milliseconds
     */
    public double firstEventMs(double quantile) {
        if (firstEventNanos.isEmpty()) {
            return 0;
        }
        List<Long> sorted = new ArrayList<>(firstEventNanos);
        Collections.sort(sorted);
        int index = (int) Math.min(sorted.size() - 1, quantile * sorted.size());
        return sorted.get(index) / NANOS_PER_MILLI;
    }

    private static double fraction(int count, int total) {
        return total == 0 ? 0 : (double) count / total;
    }

    String row(String name) {
        return "%-22s %7.1f %7.1f %6.1f %8.1f %8.0f %8.0f %9.1f %7.2f %6.1f"
                .formatted(
                        name,
                        PERCENT * inTime(),
                        PERCENT * inTimeAfterRetry(),
                        PERCENT * late(),
                        PERCENT * refused(),
                        firstEventMs(0.5),
                        firstEventMs(0.99),
                        PERCENT * itemsInTime(),
                        preemptionsPerItem(),
                        PERCENT * busyFraction);
    }

    static String header() {
        return "%-22s %7s %7s %6s %8s %8s %8s %9s %7s %6s"
                .formatted(
                        "policy",
                        "in time",
                        "return",
                        "late",
                        "refused",
                        "p50 ms",
                        "p99 ms",
                        "items ok",
                        "cuts",
                        "busy");
    }
}
