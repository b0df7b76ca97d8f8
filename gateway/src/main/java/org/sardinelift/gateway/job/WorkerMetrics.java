package org.sardinelift.gateway.job;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;

/** Metrics of a worker's batch jobs. */
final class WorkerMetrics {
    private static final double MILLIS_PER_SECOND = 1e3;

    private static final Gauge ITEMS_RUNNING =
            Gauge.builder()
                    .name("sardinelift_worker_items_running")
                    .help("Items that targets run for this worker")
                    .register();
    private static final Counter RUNS =
            Counter.builder()
                    .name("sardinelift_worker_runs_total")
                    .help("Runs of items, by how they ended")
                    .labelNames("end")
                    .register();
    private static final Counter SUBMISSIONS =
            Counter.builder()
                    .name("sardinelift_worker_submissions_total")
                    .help("Submissions of jobs, by what became of them")
                    .labelNames("stored")
                    .register();
    private static final Counter REJECTED_WRITES =
            Counter.builder()
                    .name("sardinelift_worker_rejected_writes_total")
                    .help("Writes of jobs and results that the store rejected for their content")
                    .register();
    private static final Histogram RESULT_AGE =
            Histogram.builder()
                    .name("sardinelift_worker_result_age_seconds")
                    .help("Time from the submission of a job to the record of a result")
                    .classicUpperBounds(2, 5, 8, 12, 15, 18, 25, 40, 60)
                    .register();

    private WorkerMetrics() {}

    static void setRunningItems(int items) {
        ITEMS_RUNNING.set(items);
    }

    static void countRun(String end) {
        RUNS.labelValues(end).inc();
    }

    static void countSubmission(String stored) {
        SUBMISSIONS.labelValues(stored).inc();
    }

    static void countRejectedWrite() {
        REJECTED_WRITES.inc();
    }

    static void observeResultAge(long ageMs) {
        RESULT_AGE.observe(ageMs / MILLIS_PER_SECOND);
    }
}
