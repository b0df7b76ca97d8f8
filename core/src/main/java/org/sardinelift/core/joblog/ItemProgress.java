package org.sardinelift.core.joblog;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** How far an item has come on this worker. Not safe for use by several threads at once. */
public final class ItemProgress {
    private final JobItem item;
    private final List<String> output = new ArrayList<>();
    private OptionalLong lastEventId = OptionalLong.empty();
    private int failedRuns;
    private int cuts;
    private boolean setRunning;
    private long delayUntil = Long.MIN_VALUE;

    ItemProgress(JobItem item) {
        this.item = item;
    }

    /**
     * The item.
     *
     * @return its specification
     */
    public JobItem item() {
        return item;
    }

    /**
     * Number of the last event held, from which a target can go on.
     *
     * @return the number, or empty before the first
     */
    public OptionalLong lastEventId() {
        return lastEventId;
    }

    /**
     * Events held.
     *
     * @return their number
     */
    public int eventCount() {
        return output.size();
    }

    /**
     * A target sent the next event.
     *
     * @param id its number
     * @param data its data
     */
    public void onEvent(long id, String data) {
        lastEventId = OptionalLong.of(id);
        output.add(data);
    }

    /** A target can't go on after the last event held: the next run begins anew. */
    public void discardOutput() {
        output.clear();
        lastEventId = OptionalLong.empty();
    }

    /**
     * The whole output.
     *
     * @return data of all events, joined by line feeds
     */
    public String output() {
        return String.join("\n", output);
    }

    /**
     * A target ran the item and answered with a failure.
     *
     * @return failed runs so far
     */
    public int onFailedRun() {
        return ++failedRuns;
    }

    /**
     * A run ended midway, without an answer that says why.
     *
     * @return such ends in a row
     */
    public int onRunInterrupted() {
        return ++cuts;
    }

    /** A run made progress: earlier cuts tell nothing about the item. */
    public void onProgress() {
        cuts = 0;
    }

    /**
     * Whether a target runs the item now.
     *
     * @return true from its start to its end
     */
    public boolean isRunning() {
        return setRunning;
    }

    /**
     * Sets whether a target runs the item.
     *
     * @param isRunning true from its start to its end
     */
    public void setRunning(boolean isRunning) {
        setRunning = isRunning;
    }

    /**
     * Puts the next run off.
     *
     * @param nanos time before which it isn't started
     */
    public void delayUntil(long nanos) {
        delayUntil = nanos;
    }

    /**
     * Whether the item may be started.
     *
     * @param now the time, nanoseconds
     * @return true where it doesn't run and its pause is over
     */
    public boolean isStartable(long now) {
        return !setRunning && (delayUntil == Long.MIN_VALUE || now - delayUntil >= 0);
    }
}
