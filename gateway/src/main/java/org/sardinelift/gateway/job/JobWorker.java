package org.sardinelift.gateway.job;

import io.netty.channel.EventLoop;
import java.time.Duration;
import org.sardinelift.gateway.Adapter;
import org.sardinelift.gateway.NodeSettings;
import org.sardinelift.gateway.call.TargetTable;
import org.sardinelift.gateway.feed.PlanFeed;
import org.sardinelift.gateway.feed.StoreContact;
import org.sardinelift.gateway.peer.PeerNetwork;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.runtime.ControlThread;

/** Puts together what keeps and runs batch jobs. */
public final class JobWorker {
    private final JobService service;
    private final JobFeed feed;
    private final JobRecorder recorder;
    private final ItemRunner runner;
    private final JobSweeper sweeper;
    private final RetirementWatch retirement;

    private JobWorker(
            JobService service,
            JobFeed feed,
            JobRecorder recorder,
            ItemRunner runner,
            JobSweeper sweeper,
            RetirementWatch retirement) {
        this.service = service;
        this.feed = feed;
        this.recorder = recorder;
        this.runner = runner;
        this.sweeper = sweeper;
        this.retirement = retirement;
    }

    /**
     * Puts the parts together.
     *
     * @param settings who and where this instance is
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
     * @param keep time for which a closed job is kept
     * @return the worker, not started
     */
    public static JobWorker create(
            NodeSettings settings,
            Adapter adapter,
            EventLoop loop,
            ControlThread control,
            HttpClient targetClient,
            HttpClient storeClient,
            ObjectStore store,
            StoreContact contact,
            TargetTable table,
            PeerNetwork network,
            PlanFeed plans,
            Duration keep) {
        JobBook book = new JobBook(adapter.jobs());
        JobStorage storage = new JobStorage(store, loop, contact);
        JobFeed feed = new JobFeed(book, store, loop, contact);
        JobRecorder recorder = new JobRecorder(storage, book, loop);
        ItemRunner runner =
                new ItemRunner(
                        settings.instance(),
                        settings.zone(),
                        book,
                        recorder,
                        table,
                        network,
                        targetClient,
                        loop,
                        plans,
                        adapter.headers());
        JobService service =
                new JobService(adapter.jobs(), book, feed, storage, loop, runner::claim);
        book.listen(
                job -> {
                    service.onChanged(job);
                    runner.pump();
                });
        network.listen(runner);
        network.reportJobs(runner::reportedJobs);
        JobSweeper sweeper =
                new JobSweeper(settings.instance(), book, storage, network, loop, keep);
        RetirementWatch retirement =
                new RetirementWatch(
                        adapter,
                        settings,
                        store,
                        storeClient,
                        control,
                        contact,
                        () ->
                                loop.execute(
                                        () -> {
                                            network.leave();
                                            runner.leave();
                                        }),
                        () -> runner.isIdle() && recorder.isIdle());
        return new JobWorker(service, feed, recorder, runner, sweeper, retirement);
    }

    /** Starts to read and run jobs. */
    public void start() {
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
        return service.handle(exchange);
    }

    /** Something changed that may let items start. */
    public void onChanged() {
        runner.pump();
    }

    /** Hands all jobs to other workers; on the event loop. */
    public void leave() {
        runner.leave();
    }

    /**
     * Whether nothing runs and nothing waits to be recorded.
     *
     * @return true where the process may stop
     */
    public boolean isIdle() {
        return runner.isIdle() && recorder.isIdle();
    }
}
