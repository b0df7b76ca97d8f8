package org.sardinelift.entry;

import io.prometheus.metrics.core.metrics.Gauge;
import java.util.List;
import org.sardinelift.core.explain.JobStatus;
import org.sardinelift.core.route.Candidate;
import org.sardinelift.core.route.Ejection;

/** Gauges of an entry's calls, targets, configuration and jobs. */
final class EntryMetrics {
    private static final Gauge CALLS =
            gauge("sardinelift_calls_under_way", "Calls and batch items under way.");
    private static final Gauge TARGETS =
            gauge("sardinelift_targets_usable", "Targets that get calls of this entry.");
    private static final Gauge TARGETS_LEFT_OUT =
            gauge("sardinelift_targets_left_out", "Known targets that get no call of this entry.");
    private static final Gauge REVISION =
            gauge("sardinelift_config_revision", "Revision of the configuration in force.");
    private static final Gauge JOBS = gauge("sardinelift_jobs_held", "Jobs that this entry holds.");
    private static final Gauge JOBS_LATE =
            gauge("sardinelift_jobs_late", "Held jobs that are overdue or expected to be.");
    private static final Gauge ITEMS =
            gauge("sardinelift_job_items_open", "Items of held jobs that have not ended.");

    private EntryMetrics() {}

    static void setCallsInFlight(int inFlight) {
        CALLS.set(inFlight);
    }

    static void setRevision(long revision) {
        REVISION.set(revision);
    }

    static void setTargets(List<Candidate> targets) {
        long usable =
                targets.stream()
                        .filter(Candidate::isUsable)
                        .filter(target -> target.admission() == Ejection.Admission.IN)
                        .count();
        TARGETS.set(usable);
        TARGETS_LEFT_OUT.set(targets.size() - usable);
    }

    static void setJobs(List<JobStatus> jobs) {
        JOBS.set(jobs.size());
        JOBS_LATE.set(jobs.stream().filter(JobStatus::isLate).count());
        ITEMS.set(jobs.stream().mapToInt(JobStatus::openItems).sum());
    }

    private static Gauge gauge(String name, String help) {
        return Gauge.builder().name(name).help(help).register();
    }
}
