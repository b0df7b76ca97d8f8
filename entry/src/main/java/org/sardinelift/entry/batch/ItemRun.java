package org.sardinelift.entry.batch;

import org.jspecify.annotations.Nullable;
import org.sardinelift.entry.call.CallHandle;

/** One item of a loaded chunk and its attempts. Used on the control thread only. */
final class ItemRun {
    private final JobRun run;
    private final ChunkRun chunk;
    private final int index;
    private final BatchItem item;
    private @Nullable CallHandle handle;
    private int failures;
    private int postponements;
    private int attempts;
    private boolean isRunning;

    ItemRun(JobRun run, ChunkRun chunk, int index, BatchItem item) {
        this.run = run;
        this.chunk = chunk;
        this.index = index;
        this.item = item;
    }

    JobRun run() {
        return run;
    }

    ChunkRun chunk() {
        return chunk;
    }

    int index() {
        return index;
    }

    BatchItem item() {
        return item;
    }

    int failures() {
        return failures;
    }

    int postponements() {
        return postponements;
    }

    boolean wasStarted() {
        return attempts > 0;
    }

    boolean isRunning() {
        return isRunning;
    }

    /** Starts an attempt and returns its number. */
    int startAttempt() {
        isRunning = true;
        attempts++;
        return attempts;
    }

    void onDispatched(CallHandle call) {
        handle = call;
    }

    void onAttemptEnded() {
        isRunning = false;
        handle = null;
    }

    void countFailure() {
        failures++;
    }

    void countPostponement() {
        postponements++;
    }

    void cancel(String reason) {
        CallHandle call = handle;
        if (isRunning && call != null) {
            call.cancel(reason);
        }
    }
}
