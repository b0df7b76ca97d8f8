package org.sardinelift.gateway;

import java.net.BindException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.plan.RegisteredTarget;
import org.sardinelift.core.plan.ServingPlan;
import org.sardinelift.gateway.call.TargetTable;
import org.sardinelift.gateway.job.JobWorker;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpServer;
import org.sardinelift.runtime.log.LogEvent;

/** A running worker: stores batch jobs and runs their items. */
public final class WorkerProcess implements AutoCloseable {
    private static final Duration TARGET_CONNECT_TIMEOUT = Duration.ofMillis(250);
    private static final Duration TYPICAL_FIRST_EVENT = Duration.ofMillis(55);
    private static final Duration TYPICAL_CALL_TIME = Duration.ofMillis(750);

    /** Time for results to reach the store and for peers to take over the jobs. */
    private static final Duration HAND_OVER_TIMEOUT = Duration.ofMillis(1_500);

    private static final long POLL_INTERVAL_MS = 20;

    private final WorkerSettings settings;
    private final Node node;
    private final JobWorker worker;
    private final HttpServer internalServer;
    private final CompletableFuture<Void> drainRequested = new CompletableFuture<>();

    private WorkerProcess(WorkerSettings settings, PlatformAdapter adapter) throws BindException {
        this.settings = settings;
        this.node = Node.create(settings.node(), PeerRole.WORKER, adapter);
        HttpClient targetClient =
                HttpClient.createPlaintext(
                        node.group(), TARGET_CONNECT_TIMEOUT, settings.connectionIdleTimeout());
        TargetTable targetTable =
                TargetTable.create(
                        node.network().targetLoads(),
                        node.network().rateLimits().limits(),
                        targetClient,
                        node.loop(),
                        adapter.probePath(),
                        adapter::startedAtMs,
                        TYPICAL_FIRST_EVENT,
                        TYPICAL_CALL_TIME);
        targetTable.setAnswerListener(node.network().rateLimits().cold()::onAnswerChanged);
        this.worker =
                JobWorker.create(
                        settings,
                        adapter,
                        node.loop(),
                        node.control(),
                        targetClient,
                        node.client(),
                        node.store(),
                        node.storeAvailability(),
                        targetTable,
                        node.network(),
                        node.plans());
        this.internalServer =
                node.startInternalServer(
                        targetTable,
                        exchange -> {
                            if (!worker.handle(exchange)) {
                                Node.respondNotFound(exchange);
                            }
                        });
        node.start(
                new Node.Listener() {
                    @Override
                    public void onPlanChanged(ServingPlan plan) {
                        worker.onPlanOrTargetsChanged();
                    }

                    @Override
                    public void onTargetsChanged(Map<String, RegisteredTarget> entries) {
                        targetTable.update(entries);
                        worker.onPlanOrTargetsChanged();
                    }
                });
        worker.start();
    }

    /**
     * Starts a worker.
     *
     * @param settings its settings
     * @param adapter adapter of the platform
     * @return the running worker
     * @throws BindException if a port is in use; choose another in the settings
     */
    public static WorkerProcess start(WorkerSettings settings, PlatformAdapter adapter)
            throws BindException {
        return new WorkerProcess(settings, adapter);
    }

    /**
     * Line that reports that the process is running and on which port it listens.
     *
     * @return machine-readable line
     */
    public String readyLine() {
        return "{\"event\":\"started\",\"role\":\"worker\",\"instance\":\""
                + settings.node().instance()
                + "\",\"internal\":"
                + internalServer.port()
                + "}";
    }

    /**
     * Completes when an operator requests a drain other than by a signal.
     *
     * @return a future that this role never completes
     */
    public CompletableFuture<Void> drainRequested() {
        return drainRequested;
    }

    /** Hands the jobs over to other workers and waits until finished items are recorded. */
    public void drain() {
        long startedAt = System.nanoTime();
        LogEvent.of("process.stopping").info();
        node.loop()
                .execute(
                        () -> {
                            node.network().announceLeaving();
                            worker.handOverJobs();
                        });
        long deadline = startedAt + HAND_OVER_TIMEOUT.toNanos();
        do {
            sleep();
        } while (!worker.isIdle() && System.nanoTime() - deadline < 0);
        LogEvent.of("process.stopped")
                .with("ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt))
                .info();
    }

    private static void sleep() {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        internalServer.close();
        node.close();
    }
}
