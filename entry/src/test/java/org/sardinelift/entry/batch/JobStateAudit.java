package org.sardinelift.entry.batch;

import java.util.HashMap;
import java.util.Map;
import org.sardinelift.core.batch.JobCounts;
import org.sardinelift.core.batch.JobState;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.WriteResult;
import org.sardinelift.testkit.FakeObjectStore;

/** Checks every state of a job that takes effect in the platform against the one before. */
final class JobStateAudit {
    private final Map<String, JobState> last = new HashMap<>();
    private final boolean conditional;
    private String violation = "";
    private int writes;

    private JobStateAudit(boolean conditional) {
        this.conditional = conditional;
    }

    static JobStateAudit strict() {
        return new JobStateAudit(true);
    }

    /** A platform whose updates of job states overwrite whatever is there. */
    static JobStateAudit overwriting() {
        return new JobStateAudit(false);
    }

    /** Begins anew, after jobs were removed. */
    void reset() {
        last.clear();
    }

    String violation() {
        return violation;
    }

    int writes() {
        return writes;
    }

    WriteResult write(FakeObjectStore store, ObjectKey key, long version, String value) {
        boolean state = key.kind().equals(JobStateUpdater.KIND);
        long expected = version;
        if (state && !conditional) {
            expected =
                    store.read(key).join() instanceof ReadResult.Found found
                            ? found.object().version()
                            : ObjectStore.ABSENT_VERSION;
        }
        WriteResult result = store.write(key, expected, value).join();
        if (result instanceof WriteResult.Written) {
            writes++;
            if (state) {
                check(key.name(), BatchJson.state(value));
            }
        }
        return result;
    }

    private void check(String job, JobState next) {
        JobState before = last.put(job, next);
        JobCounts counts = next.counts();
        int sum = counts.completed() + counts.failed() + counts.cancelled() + counts.open();
        note(sum == counts.accepted() && counts.open() >= 0, "counts " + counts);
        if (before != null) {
            note(!before.phase().isTerminal(), "written after " + before.phase());
            note(next.fence() >= before.fence(), "fence went back");
            note(
                    next.chunks().entrySet().containsAll(before.chunks().entrySet()),
                    "a committed result was lost or replaced");
            note(before.counts().accepted() == counts.accepted(), "accepted items changed");
        }
    }

    private void note(boolean holds, String what) {
        if (!holds && violation.isEmpty()) {
            violation = what;
        }
    }
}
