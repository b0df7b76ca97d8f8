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
 * One job's state in the platform. Changes are transitions that may be applied again: after a
 * conflict or a lost answer they are decided anew on what is read back. Changes that wait are
 * folded into one update.
 */
final class JobStateUpdater {
    /** Kind of the states. */
    static final String KIND = "job-state";

    private final JobStore store;
    private final ObjectKey key;
    private final Supplier<JobState> initial;
    private final List<Change> pending = new ArrayList<>();
    private @Nullable JobState known;
    private long version;
    private long newestSeen;
    private int failures;
    private boolean busy;
    private boolean outdated;
    private boolean closed;

    JobStateUpdater(JobStore store, String id, Supplier<JobState> initial) {
        this.store = store;
        this.key = key(id);
        this.initial = initial;
    }

    static ObjectKey key(String id) {
        return new ObjectKey(KIND, id);
    }

    private record Change(
            UnaryOperator<JobState> transition, boolean mustWrite, Consumer<JobState> done) {}

    /** Changes the state; the listener hears the state in force once that is confirmed. */
    void update(UnaryOperator<JobState> transition, Consumer<JobState> done) {
        pending.add(new Change(transition, false, done));
        step();
    }

    /** Reads the state again before the next change. */
    void refresh(Consumer<JobState> done) {
        outdated = true;
        update(state -> state, done);
    }

    /**
     * Makes sure of the state in force by a write that changes nothing, as a read may be stale. A
     * job that has ended is not written.
     */
    void confirm(Consumer<JobState> done) {
        pending.add(new Change(state -> state, true, done));
        step();
    }

    /** Gives up what waits; its listeners hear nothing. */
    void close() {
        closed = true;
        pending.clear();
    }

    private void step() {
        if (busy || closed || pending.isEmpty()) {
            return;
        }
        JobState current = outdated ? null : known;
        if (current == null) {
            busy = true;
            outdated = false;
            store.read(key, this::onRead);
            return;
        }
        List<Change> folded = List.copyOf(pending);
        JobState next = current;
        for (Change change : folded) {
            next = change.transition().apply(next);
        }
        JobState decided = next;
        boolean mustWrite =
                !current.phase().isTerminal() && folded.stream().anyMatch(Change::mustWrite);
        if (decided.equals(current) && !mustWrite) {
            tell(folded, current);
            return;
        }
        busy = true;
        store.write(
                key, version, BatchJson.state(decided), result -> onWrite(result, folded, decided));
    }

    private void onRead(ReadResult result) {
        busy = false;
        if (result instanceof ReadResult.Found found && found.object().version() >= newestSeen) {
            adopt(found.object());
        } else if (result instanceof ReadResult.Absent && newestSeen == 0) {
            known = initial.get();
            version = 0;
            step();
        } else {
            later();
        }
    }

    private void adopt(StoredObject object) {
        known = BatchJson.state(object.value());
        version = object.version();
        newestSeen = version;
        step();
    }

    private void onWrite(WriteResult result, List<Change> folded, JobState decided) {
        busy = false;
        if (result instanceof WriteResult.Written written) {
            known = decided;
            version = written.version();
            newestSeen = version;
            failures = 0;
            tell(folded, decided);
        } else if (result instanceof WriteResult.Conflict conflict) {
            known = null;
            newestSeen = Math.max(newestSeen, conflict.actualVersion());
            step();
        } else {
            known = result instanceof WriteResult.Unclear ? null : known;
            later();
        }
    }

    private void tell(List<Change> folded, JobState state) {
        pending.subList(0, Math.min(folded.size(), pending.size())).clear();
        folded.forEach(change -> change.done().accept(state));
        step();
    }

    private void later() {
        busy = true;
        failures++;
        store.control()
                .schedule(
                        store.backoff().pause(failures),
                        () -> {
                            busy = false;
                            step();
                        });
    }
}
