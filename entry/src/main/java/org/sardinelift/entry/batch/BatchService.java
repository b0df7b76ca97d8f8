package org.sardinelift.entry.batch;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.time.Clock;
import java.util.List;
import java.util.UUID;
import java.util.function.Supplier;
import org.sardinelift.core.batch.Holder;
import org.sardinelift.core.batch.JobState;
import org.sardinelift.core.batch.LaneShares;
import org.sardinelift.core.batch.LeaseMonitor;
import org.sardinelift.core.catalog.Catalog;
import org.sardinelift.core.fleet.FleetView;
import org.sardinelift.entry.call.CallDispatcher;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.runtime.ControlThread;

/** Batch work on an entry: accepts jobs, runs those assigned to it, and serves results. */
public final class BatchService implements AutoCloseable {
    private final BatchControl control;
    private final BatchSettings settings;
    private final OpenJobs jobs;
    private final LeaseRenewer lease;
    private final BatchWorker worker;
    private final JobClaimer claims;
    private final JobSweeper sweeper;
    private final JobAcceptance acceptance;
    private final JobReader reader;
    private final JobCanceller cancel;
    private final JobDecisions decisions;
    private Runnable onClose = () -> {};

    private BatchService(
            ObjectStore objects,
            CallDispatcher dispatcher,
            Supplier<Catalog> catalog,
            Supplier<FleetView> fleet,
            Holder self,
            BatchControl control,
            BatchSettings settings,
            JobDecisions decisions) {
        this.control = control;
        this.decisions = decisions;
        this.settings = settings;
        Backoff backoff =
                new Backoff(
                        settings.storePause(),
                        settings.storeLongestPause(),
                        settings.seed() * 31L + self.instance().hashCode());
        JobStore store = new JobStore(objects, control, backoff);
        LeaseMonitor leases = LeaseMonitor.of(settings.leaseTimeout());
        LaneShares shares = LaneShares.create();
        jobs = new OpenJobs(store, settings, leases, shares, self.instance(), this::onMarker);
        lease = new LeaseRenewer(store, settings, self, this::loads, this::onRegained);
        worker =
                new BatchWorker(
                        store, settings, dispatcher, catalog, self, lease, shares, this::onEnded);
        claims = new JobClaimer(store, self, leases, shares, jobs, worker, lease, fleet, decisions);
        sweeper =
                new JobSweeper(
                        store,
                        settings,
                        self.instance(),
                        () ->
                                lease.ownLease().isValid(control.nanos())
                                        ? claims.eligibleEntries()
                                        : List.of());
        reader = new JobReader(store, settings);
        acceptance = new JobAcceptance(store, settings, catalog, jobs, reader);
        cancel = new JobCanceller(store, settings, reader, jobs);
    }

    /**
     * Creates and starts batch work on an entry.
     *
     * @param objects object store of the platform
     * @param dispatcher sends the calls of items
     * @param catalog current configuration
     * @param fleet instances that are considered live
     * @param instance name of this entry
     * @param control the thread that owns the batch state
     * @param settings the settings
     * @param decisions records the decisions about jobs
     * @return the running service
     */
    public static BatchService start(
            ObjectStore objects,
            CallDispatcher dispatcher,
            Supplier<Catalog> catalog,
            Supplier<FleetView> fleet,
            String instance,
            ControlThread control,
            BatchSettings settings,
            JobDecisions decisions) {
        ControlThread longTasks = ControlThread.start("batch-check");
        ObjectStore cached =
                settings.dataFolder().isEmpty()
                        ? objects
                        : new CachedObjectStore(
                                objects,
                                new FolderCache(
                                        Path.of(settings.dataFolder()), settings.dataBytes()),
                                longTasks::execute);
        BatchService service =
                create(
                        cached,
                        dispatcher,
                        catalog,
                        fleet,
                        new Holder(instance, UUID.randomUUID().toString()),
                        BatchControl.of(control, longTasks, Clock.systemUTC()),
                        settings,
                        decisions);
        service.onClose = longTasks::close;
        return service;
    }

    static BatchService create(
            ObjectStore objects,
            CallDispatcher dispatcher,
            Supplier<Catalog> catalog,
            Supplier<FleetView> fleet,
            Holder self,
            BatchControl control,
            BatchSettings settings,
            JobDecisions decisions) {
        BatchService service =
                new BatchService(
                        objects, dispatcher, catalog, fleet, self, control, settings, decisions);
        control.execute(service::begin);
        return service;
    }

    private void begin() {
        lease.start();
        jobs.start();
        worker.start();
        sweeper.start();
        control.repeat(settings.claimPeriod(), claims::claimJobs);
        control.repeat(settings.claimPeriod(), worker::scheduleLoad);
        control.repeat(settings.claimPeriod(), this::recordProgress);
    }

    /**
     * Stops claiming jobs, waits for loaded chunks, releases the jobs and calls back.
     *
     * @param done called once, on the control thread
     */
    public void drain(Runnable done) {
        control.execute(
                () -> {
                    claims.drain();
                    worker.drain();
                    long deadline = control.nanos() + settings.drainTimeout().toNanos();
                    awaitIdle(deadline, done);
                });
    }

    private void awaitIdle(long deadline, Runnable done) {
        if (worker.isIdle() || control.nanos() >= deadline) {
            worker.release(
                    () -> {
                        lease.stop();
                        done.run();
                    });
        } else {
            control.schedule(settings.pumpPeriod(), () -> awaitIdle(deadline, done));
        }
    }

    /** Stops the threads that this service started itself. */
    @Override
    public void close() {
        onClose.run();
    }

    JobAcceptance acceptance() {
        return acceptance;
    }

    JobReader reader() {
        return reader;
    }

    JobCanceller cancel() {
        return cancel;
    }

    BatchControl control() {
        return control;
    }

    private void onMarker(OpenJobs.Marker marker) {
        JobRun run = worker.runs().get(marker.id());
        if (run == null) {
            claims.claimJobs();
        } else if (marker.isCancelRequested()) {
            run.confirmClaim();
        }
    }

    private ObjectNode loads() {
        return LaneLoads.toJson(worker.loads());
    }

    private void onRegained() {
        worker.confirmClaims();
    }

    private void recordProgress() {
        worker.runs()
                .forEach(
                        (id, run) ->
                                decisions.onProgress(
                                        id,
                                        run.openItems(),
                                        run.expectedEndMs(),
                                        control.epochMillis()));
    }

    JobDecisions decisions() {
        return decisions;
    }

    private void onEnded(JobRun run, JobState state) {
        decisions.onRunEnded(run.header(), state);
        claims.onRunEnded(run, state);
    }
}
