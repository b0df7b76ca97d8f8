package org.sardinelift.entry.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.batch.JobState;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.objects.WriteResult;

/**
 * Updates the state of one job in the platform. Changes are idempotent transitions: after a
 * conflict or a lost answer they are applied again to the state read back. Pending changes are
 * combined into one write.
 */
final class JobStateUpdater {
    /** Kind of the states. */
    static final String KIND = "job-state";

    private final JobStore store;
    private final ObjectKey key;
    private final Supplier<JobState> initialState;
    private final List<Change> pending = new ArrayList<>();
    private @Nullable JobState knownState;
    private long version;
    private long newestVersionSeen;
    private int failures;
    private boolean isBusy;
    private boolean isOutdated;
    private boolean isClosed;

    JobStateUpdater(JobStore store, String id, Supplier<JobState> initialState) {
        this.store = store;
        this.key = key(id);
        this.initialState = initialState;
    }

    static ObjectKey key(String id) {
        return new ObjectKey(KIND, id);
    }

    private record Change(
            UnaryOperator<JobState> transition, boolean mustWrite, Consumer<JobState> done) {}

    /** Changes the state; the callback receives the resulting state once that is confirmed. */
    void update(UnaryOperator<JobState> transition, Consumer<JobState> done) {
        pending.add(new Change(transition, false, done));
        applyPending();
    }

    /** Reads the state again before the next change. */
    void refresh(Consumer<JobState> done) {
        isOutdated = true;
        update(state -> state, done);
    }

    /**
     * Confirms the current state by a write that changes nothing, as a read may be stale. The state
     * of a job that has ended is not written.
     */
    void confirm(Consumer<JobState> done) {
        pending.add(new Change(state -> state, true, done));
        applyPending();
    }

    /** Drops pending changes; their callbacks are not called. */
    void close() {
        isClosed = true;
        pending.clear();
    }

    private void applyPending() {
        if (isBusy || isClosed || pending.isEmpty()) {
            return;
        }
        JobState current = isOutdated ? null : knownState;
        if (current == null) {
            isBusy = true;
            isOutdated = false;
            store.read(key, this::onRead);
            return;
        }
        List<Change> combined = List.copyOf(pending);
        JobState next = current;
        for (Change change : combined) {
            next = change.transition().apply(next);
        }
        JobState newState = next;
        boolean mustWrite =
                !current.phase().isTerminal() && combined.stream().anyMatch(Change::mustWrite);
        if (newState.equals(current) && !mustWrite) {
            notifyDone(combined, current);
            return;
        }
        isBusy = true;
        store.write(
                key,
                version,
                BatchJson.state(newState),
                result -> onWrite(result, combined, newState));
    }

    private void onRead(ReadResult result) {
        isBusy = false;
        if (result instanceof ReadResult.Found found
                && found.object().version() >= newestVersionSeen) {
            useRead(found.object());
        } else if (result instanceof ReadResult.Absent && newestVersionSeen == 0) {
            knownState = initialState.get();
            version = 0;
            applyPending();
        } else {
            retryLater();
        }
    }

    private void useRead(StoredObject object) {
        knownState = BatchJson.state(object.value());
        version = object.version();
        newestVersionSeen = version;
        applyPending();
    }

    private void onWrite(WriteResult result, List<Change> combined, JobState newState) {
        isBusy = false;
        if (result instanceof WriteResult.Written written) {
            knownState = newState;
            version = written.version();
            newestVersionSeen = version;
            failures = 0;
            notifyDone(combined, newState);
        } else if (result instanceof WriteResult.Conflict conflict) {
            knownState = null;
            newestVersionSeen = Math.max(newestVersionSeen, conflict.actualVersion());
            applyPending();
        } else {
            knownState = result instanceof WriteResult.Unclear ? null : knownState;
            retryLater();
        }
    }

    private void notifyDone(List<Change> combined, JobState state) {
        pending.subList(0, Math.min(combined.size(), pending.size())).clear();
        combined.forEach(change -> change.done().accept(state));
        applyPending();
    }

    private void retryLater() {
        isBusy = true;
        failures++;
        store.control()
                .schedule(
                        store.backoff().pause(failures),
                        () -> {
                            isBusy = false;
                            applyPending();
                        });
    }
}
