package org.sardinelift.core.joblog;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.sardinelift.core.plan.SoftwareVersion;

/** Progress of an item on this worker. Not thread-safe. */
public final class ItemProgress {
    private final JobItem item;
    private final List<String> output = new ArrayList<>();
    private OptionalLong lastEventId = OptionalLong.empty();
    private Optional<SoftwareVersion> softwareVersion = Optional.empty();
    private int failedRuns;
    private int interruptions;
    private boolean isRunning;
    private long delayedUntil = Long.MIN_VALUE;
    private long waitingSince;

    ItemProgress(JobItem item) {
        this.item = item;
    }

    /**
     * Returns the item.
     *
     * @return its specification
     */
    public JobItem item() {
        return item;
    }

    /**
     * Returns the id of the last event received, after which a target can resume.
     *
     * @return the id, or empty before the first event
     */
    public OptionalLong lastEventId() {
        return lastEventId;
    }

    /**
     * Counts the events received.
     *
     * @return number of events
     */
    public int eventCount() {
        return output.size();
    }

    /**
     * The version of the software that wrote the output, at which alone the item can go on.
     *
     * @return the version, or empty before the first event
     */
    public Optional<SoftwareVersion> softwareVersion() {
        return softwareVersion;
    }

    /**
     * A run brought its first event.
     *
     * @param version the version of the software that writes its events
     */
    public void onRunBegan(SoftwareVersion version) {
        if (output.isEmpty()) {
            softwareVersion = Optional.of(version);
        }
    }

    /**
     * A target sent the next event.
     *
     * @param id id of the event
     * @param data data of the event
     */
    public void onEvent(long id, String data) {
        lastEventId = OptionalLong.of(id);
        output.add(data);
    }

    /**
     * Discards the output, so that the next run starts from the beginning; used if no target can go
     * on.
     */
    public void discardOutput() {
        output.clear();
        lastEventId = OptionalLong.empty();
        softwareVersion = Optional.empty();
    }

    /**
     * Returns the whole output.
     *
     * @return data of all events, joined by line feeds
     */
    public String output() {
        return String.join("\n", output);
    }

    /**
     * A target ran the item and answered with a failure.
     *
     * @return number of failed runs so far
     */
    public int onFailedRun() {
        return ++failedRuns;
    }

    /**
     * A run was interrupted, without an answer that says why.
     *
     * @return number of interruptions in a row
     */
    public int onRunInterrupted() {
        return ++interruptions;
    }

    /**
     * Counts the runs that were interrupted since the last one that made progress.
     *
     * @return number of interruptions in a row
     */
    public int interruptions() {
        return interruptions;
    }

    /** A run made progress, so that earlier interruptions no longer count against the item. */
    public void onProgress() {
        interruptions = 0;
    }

    /**
     * Whether a target runs the item now.
     *
     * @return true from the start of a run to its end
     */
    public boolean isRunning() {
        return isRunning;
    }

    /**
     * Sets whether a target runs the item.
     *
     * @param isNowRunning true from the start of a run to its end
     */
    public void setRunning(boolean isNowRunning) {
        isRunning = isNowRunning;
    }

    /**
     * A run ended, and the item waits for the next one.
     *
     * @param now the time, nanoseconds, monotonic
     */
    public void onRunEnded(long now) {
        isRunning = false;
        waitingSince = now;
    }

    /**
     * Time since the last run ended.
     *
     * @param now the time, nanoseconds, monotonic
     * @return nanoseconds
     */
    public long waitingNanos(long now) {
        return now - waitingSince;
    }

    /**
     * Delays the next run.
     *
     * @param nanos time before which the run must not start, monotonic
     */
    public void delayUntil(long nanos) {
        delayedUntil = nanos;
    }

    /**
     * Whether the item may be started.
     *
     * @param now current time, monotonic, nanoseconds
     * @return true if it is not running and its delay is over
     */
    public boolean isStartable(long now) {
        return !isRunning && (delayedUntil == Long.MIN_VALUE || now - delayedUntil >= 0);
    }
}
