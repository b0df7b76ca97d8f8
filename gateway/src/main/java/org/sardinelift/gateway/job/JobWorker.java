package org.sardinelift.gateway.job;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.sardinelift.core.joblog.JobProgress;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.peer.PeerTable.SuccessorState;
import org.sardinelift.gateway.NodeSettings;
import org.sardinelift.gateway.PlatformAdapter;
import org.sardinelift.gateway.WorkerSettings;
import org.sardinelift.gateway.call.ForwardedHeaders;
import org.sardinelift.gateway.call.TargetTable;
import org.sardinelift.gateway.feed.PlanFeed;
import org.sardinelift.gateway.feed.StoreAvailability;
import org.sardinelift.gateway.peer.PeerNetwork;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.runtime.ControlThread;

/** The batch components of a worker, which store, run and serve jobs. */
public final class JobWorker {
    private final JobService service;
    private final JobFeed feed;
    private final JobSpool spool;
    private final Duration retention;
    private final JobRecorder recorder;
    private final ItemRunner runner;
    private final JobSweeper sweeper;
    private final RetirementWatch retirement;

    private JobWorker(
            WorkerSettings settings,
            PlatformAdapter adapter,
            EventLoop loop,
            ControlThread control,
            HttpClient targetClient,
            HttpClient storeClient,
            ObjectStore store,
            StoreAvailability storeAvailability,
            TargetTable table,
            PeerNetwork network,
            PlanFeed plans) {
        NodeSettings node = settings.node();
        JobApi jobApi = adapter.jobs();
        retention = settings.jobRetention();
        JobRegistry jobs = new JobRegistry(jobApi);
        JobStorage storage = new JobStorage(store, loop, storeAvailability);
        feed = new JobFeed(jobs, store, loop, storeAvailability);
        spool =
                new JobSpool(
                        settings.spool(),
                        jobApi,
                        jobs,
                        storage,
                        storeAvailability,
                        network,
                        storeClient,
                        loop);
        String series = node.instance() + "-" + System.currentTimeMillis();
        recorder = new JobRecorder(storage, jobs, loop, series, spool::isPending);
        runner =
                new ItemRunner(
                        node.instance(),
                        node.zone(),
                        jobs,
                        recorder,
                        table,
                        network,
                        targetClient,
                        loop,
                        plans,
                        ForwardedHeaders.of(adapter));
        service =
                new JobService(
                        node.instance(),
                        jobApi,
                        jobs,
                        feed,
                        storage,
                        spool,
                        storeAvailability,
                        network,
                        loop,
                        runner::claim);
        sweeper = new JobSweeper(node.instance(), jobs, storage, network, loop, retention);
        retirement =
                new RetirementWatch(
                        adapter,
                        node,
                        store,
                        storeClient,
                        control,
                        storeAvailability,
                        new JobWorkload(loop, network));
        jobs.setStoredListener(spool::onJobStored);
        jobs.setChangeListener(this::onJobChanged);
        network.addListener(runner);
        network.addListener(spool);
        network.setAssignedJobsSupplier(runner::assignedJobHashes);
    }

    /** The jobs of this worker, which are handed over before its instance is retired. */
    private final class JobWorkload implements RetirementWatch.Workload {
        private final EventLoop loop;
        private final PeerNetwork network;

        JobWorkload(EventLoop loop, PeerNetwork network) {
            this.loop = loop;
            this.network = network;
        }

        @Override
        public CompletableFuture<SuccessorState> successorState() {
            return CompletableFuture.supplyAsync(
                    () -> network.peers().successorState(PeerRole.WORKER, System.nanoTime()), loop);
        }

        @Override
        public void handOver() {
            loop.execute(
                    () -> {
                        network.announceLeaving();
                        runner.handOverJobs();
                    });
        }

        @Override
        public void resume() {
            loop.execute(
                    () -> {
                        network.announceStaying();
                        runner.resumeJobs();
                    });
        }

        @Override
        public boolean isEmpty() {
            return isIdle();
        }
    }

    private void onJobChanged(JobProgress job) {
        service.onJobChanged(job);
        runner.reschedule();
    }

    /**
     * Creates the components.
     *
     * @param settings settings of the worker
     * @param adapter the platform's headers, jobs and calls
     * @param loop the event loop of traffic
     * @param control the control thread
     * @param targetClient sends items to targets
     * @param storeClient sends reports to the store
     * @param store where jobs are stored
     * @param storeAvailability whether the store answers
     * @param table the targets
     * @param network the other instances
     * @param plans the configuration in force
     * @return the worker, not started
     */
    public static JobWorker create(
            WorkerSettings settings,
            PlatformAdapter adapter,
            EventLoop loop,
            ControlThread control,
            HttpClient targetClient,
            HttpClient storeClient,
            ObjectStore store,
            StoreAvailability storeAvailability,
            TargetTable table,
            PeerNetwork network,
            PlanFeed plans) {
        return new JobWorker(
                settings,
                adapter,
                loop,
                control,
                targetClient,
                storeClient,
                store,
                storeAvailability,
                table,
                network,
                plans);
    }

    /** Starts to read and run jobs. */
    public void start() {
        spool.start(retention);
        feed.start();
        sweeper.start();
        retirement.start();
    }

    /**
     * Answers a gateway's call about a job.
     *
     * @param exchange the call
     * @return whether it was such a call
     */
    public boolean handle(HttpExchange exchange) {
        return spool.handle(exchange) || service.handle(exchange);
    }

    /** The configuration or the targets have changed, so that items may start or must stop. */
    public void onPlanOrTargetsChanged() {
        runner.reschedule();
    }

    /** Hands all jobs over to other workers; on the event loop. */
    public void handOverJobs() {
        runner.handOverJobs();
    }

    /**
     * Whether no item runs and nothing waits to be recorded or stored.
     *
     * @return true if the process may stop
     */
    public boolean isIdle() {
        return runner.isIdle() && recorder.isIdle() && spool.isEmpty();
    }
}
