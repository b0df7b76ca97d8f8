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
import org.sardinelift.gateway.call.TargetTable;
import org.sardinelift.gateway.feed.PlanFeed;
import org.sardinelift.gateway.feed.StoreAvailability;
import org.sardinelift.gateway.peer.PeerNetwork;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.runtime.ControlThread;

/** Puts together what keeps and runs batch jobs. */
public final class JobWorker {
    private final JobService service;
    private final JobFeed feed;
    private final JobSpool spool;
    private final Duration keep;
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
            StoreAvailability contact,
            TargetTable table,
            PeerNetwork network,
            PlanFeed plans) {
        NodeSettings node = settings.node();
        JobApi jobs = adapter.jobs();
        keep = settings.jobRetention();
        JobRegistry book = new JobRegistry(jobs);
        JobStorage storage = new JobStorage(store, loop, contact);
        feed = new JobFeed(book, store, loop, contact);
        spool =
                new JobSpool(
                        settings.spool(), jobs, book, storage, contact, network, storeClient, loop);
        recorder = new JobRecorder(storage, book, loop, spool::isPending);
        runner =
                new ItemRunner(
                        node.instance(),
                        node.zone(),
                        book,
                        recorder,
                        table,
                        network,
                        targetClient,
                        loop,
                        plans,
                        adapter.headerNames());
        service =
                new JobService(
                        jobs, book, feed, storage, spool, contact, network, loop, runner::claim);
        sweeper = new JobSweeper(node.instance(), book, storage, network, loop, keep);
        retirement =
                new RetirementWatch(
                        adapter,
                        node,
                        store,
                        storeClient,
                        control,
                        contact,
                        new Retiring(loop, network));
        book.setStoredListener(spool::onJobStored);
        book.setChangeListener(this::onJobChanged);
        network.addListener(runner);
        network.addListener(spool);
        network.setAssignedJobsSupplier(runner::assignedJobHashes);
    }

    /** Hands the jobs of this worker over before its instance is taken away. */
    private final class Retiring implements RetirementWatch.Workload {
        private final EventLoop loop;
        private final PeerNetwork network;

        Retiring(EventLoop loop, PeerNetwork network) {
            this.loop = loop;
            this.network = network;
        }

        @Override
        public CompletableFuture<SuccessorState> succession() {
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
     * Puts the parts together.
     *
     * @param settings who and where this instance is, and what it keeps
     * @param adapter names of headers and calls
     * @param loop the event loop of traffic
     * @param control the control thread
     * @param targetClient sends items to targets
     * @param storeClient sends reports to the store
     * @param store keeps the jobs
     * @param contact notes whether the store answers
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
            StoreAvailability contact,
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
                contact,
                table,
                network,
                plans);
    }

    /** Starts to read and run jobs. */
    public void start() {
        spool.start(keep);
        feed.start();
        sweeper.start();
        retirement.start();
    }

    /**
     * Answers a gateway's call about a job.
     *
     * @param exchange the call
     * @return whether it was one
     */
    public boolean handle(HttpExchange exchange) {
        return spool.handle(exchange) || service.handle(exchange);
    }

    /** Something changed that may let items start. */
    public void onPlanOrTargetsChanged() {
        runner.reschedule();
    }

    /** Hands all jobs to other workers; on the event loop. */
    public void handOverJobs() {
        runner.handOverJobs();
    }

    /**
     * Whether nothing runs and nothing waits to be recorded.
     *
     * @return true where the process may stop
     */
    public boolean isIdle() {
        return runner.isIdle() && recorder.isIdle() && spool.isEmpty();
    }
}
