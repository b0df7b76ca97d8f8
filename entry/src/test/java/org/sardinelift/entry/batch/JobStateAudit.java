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

/** Checks every job state that is written to the platform against the previous one. */
final class JobStateAudit {
    private final Map<String, JobState> last = new HashMap<>();
    private final boolean isConditional;
    private String violation = "";
    private int writes;

    private JobStateAudit(boolean isConditional) {
        this.isConditional = isConditional;
    }

    static JobStateAudit strict() {
        return new JobStateAudit(true);
    }

    /** Audits a platform on which updates of job states overwrite any version. */
    static JobStateAudit overwriting() {
        return new JobStateAudit(false);
    }

    /** Forgets all states, after jobs were removed. */
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
        boolean isState = key.kind().equals(JobStateUpdater.KIND);
        long expected = version;
        if (isState && !isConditional) {
            expected =
                    store.read(key).join() instanceof ReadResult.Found found
                            ? found.object().version()
                            : ObjectStore.ABSENT_VERSION;
        }
        WriteResult result = store.write(key, expected, value).join();
        if (result instanceof WriteResult.Written) {
            writes++;
            if (isState) {
                check(key.name(), BatchJson.state(value));
            }
        }
        return result;
    }

    private void check(String job, JobState next) {
        JobState before = last.put(job, next);
        JobCounts counts = next.counts();
        int sum = counts.completed() + counts.failed() + counts.cancelled() + counts.open();
        require(sum == counts.accepted() && counts.open() >= 0, "counts " + counts);
        if (before != null) {
            require(!before.phase().isTerminal(), "written after " + before.phase());
            require(next.fence() >= before.fence(), "fence went back");
            require(
                    next.chunks().entrySet().containsAll(before.chunks().entrySet()),
                    "a committed result was lost or replaced");
            require(before.counts().accepted() == counts.accepted(), "accepted items changed");
        }
    }

    private void require(boolean holds, String violated) {
        if (!holds && violation.isEmpty()) {
            violation = violated;
        }
    }
}
