package org.sardinelift.bench.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** What callers got in a run of the model. */
public final class ModelResult {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double PERCENT = 100;

    private final List<Long> firstEventNanos = new ArrayList<>();
    private int calls;
    private int inTime;
    private int inTimeAfterReturn;
    private int late;
    private int refused;
    private int items;
    private int itemsInTime;
    private int itemsLate;
    private int cuts;
    private double busy;

    void onCall() {
        calls++;
    }

    void onFirstEvent(long sinceFirstAttempt, boolean served, boolean returned) {
        firstEventNanos.add(sinceFirstAttempt);
        if (!served) {
            late++;
        } else if (returned) {
            inTimeAfterReturn++;
        } else {
            inTime++;
        }
    }

    void onRefused() {
        refused++;
    }

    void onItem() {
        items++;
    }

    void onItemDone(boolean due) {
        if (due) {
            itemsInTime++;
        } else {
            itemsLate++;
        }
    }

    void onLength(double busyPart) {
        busy = busyPart;
    }

    /**
     * Slots in use while calls came.
     *
     * @return part of all slots, 0 to 1
     */
    public double busy() {
        return busy;
    }

    void onCut() {
        cuts++;
    }

    /**
     * Calls whose first event came within the objective of their first attempt.
     *
     * @return part of all calls, 0 to 1
     */
    public double inTime() {
        return part(inTime, calls);
    }

    /**
     * Calls that were refused once and then served within the objective of the second attempt.
     *
     * @return part of all calls, 0 to 1
     */
    public double inTimeAfterReturn() {
        return part(inTimeAfterReturn, calls);
    }

    /**
     * Calls that were served later than that.
     *
     * @return part of all calls, 0 to 1
     */
    public double late() {
        return part(late, calls);
    }

    /**
     * Calls that were refused for good or left before their first event.
     *
     * @return part of all calls, 0 to 1
     */
    public double refused() {
        return part(refused, calls);
    }

    /**
     * Items of jobs that were done when they were due.
     *
     * @return part of all items, 0 to 1; 1 where there were none
     */
    public double itemsInTime() {
        return items == 0 ? 1 : part(itemsInTime, items);
    }

    /**
     * Items of jobs that were done later than they were due.
     *
     * @return part of all items, 0 to 1
     */
    public double itemsLate() {
        return part(itemsLate, items);
    }

    /**
     * Runs of items that were cut.
     *
     * @return cuts for each item that was done
     */
    public double cutsPerItem() {
        return part(cuts, itemsInTime + itemsLate);
    }

    /**
     * A quantile of the time from the first attempt to the first event of calls that got one.
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

    private static double part(int some, int all) {
        return all == 0 ? 0 : (double) some / all;
    }

    String row(String name) {
        return "%-22s %7.1f %7.1f %6.1f %8.1f %8.0f %8.0f %9.1f %7.2f %6.1f"
                .formatted(
                        name,
                        PERCENT * inTime(),
                        PERCENT * inTimeAfterReturn(),
                        PERCENT * late(),
                        PERCENT * refused(),
                        firstEventMs(0.5),
                        firstEventMs(0.99),
                        PERCENT * itemsInTime(),
                        cutsPerItem(),
                        PERCENT * busy);
    }

    static String head() {
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
