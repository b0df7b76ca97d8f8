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
import org.sardinelift.runtime.log.Event;

/** A running worker: keeps batch jobs in the store and runs their items. */
public final class WorkerProcess implements AutoCloseable {
    private static final Duration TARGET_CONNECT_TIMEOUT = Duration.ofMillis(250);
    private static final Duration USUAL_FIRST_EVENT = Duration.ofMillis(55);
    private static final Duration USUAL_CALL = Duration.ofMillis(750);

    /** Time for results on their way to the store, and for peers to take the jobs. */
    private static final Duration HAND_OVER = Duration.ofMillis(1_500);

    private static final long STEP_MS = 20;

    private final WorkerSettings settings;
    private final Node node;
    private final JobWorker worker;
    private final HttpServer internal;
    private final CompletableFuture<Void> drainRequested = new CompletableFuture<>();

    private WorkerProcess(WorkerSettings settings, PlatformAdapter adapter) throws BindException {
        this.settings = settings;
        this.node = Node.create(settings.node(), PeerRole.WORKER, adapter);
        HttpClient targetClient =
                HttpClient.createPlaintext(
                        node.group(), TARGET_CONNECT_TIMEOUT, settings.connectionIdleTimeout());
        TargetTable table =
                TargetTable.create(
                        node.network().targetLoads(),
                        targetClient,
                        node.loop(),
                        adapter.probePath(),
                        USUAL_FIRST_EVENT,
                        USUAL_CALL);
        this.worker =
                JobWorker.create(
                        settings,
                        adapter,
                        node.loop(),
                        node.control(),
                        targetClient,
                        node.client(),
                        node.store(),
                        node.contact(),
                        table,
                        node.network(),
                        node.plans());
        this.internal =
                node.startInternalServer(
                        table,
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
                        table.update(entries);
                        worker.onPlanOrTargetsChanged();
                    }
                });
        worker.start();
    }

    /**
     * Starts a worker.
     *
     * @param settings its settings
     * @param adapter translates for the platform
     * @return the running worker
     * @throws BindException where a port is taken; choose another in the settings
     */
    public static WorkerProcess start(WorkerSettings settings, PlatformAdapter adapter)
            throws BindException {
        return new WorkerProcess(settings, adapter);
    }

    /**
     * One line that says that the process runs and where it listens.
     *
     * @return machine-readable line
     */
    public String readyLine() {
        return "{\"event\":\"started\",\"role\":\"worker\",\"instance\":\""
                + settings.node().instance()
                + "\",\"internal\":"
                + internal.port()
                + "}";
    }

    /**
     * Completes once an operator asks for a drain by other means than a signal.
     *
     * @return never completes by itself
     */
    public CompletableFuture<Void> drainRequested() {
        return drainRequested;
    }

    /** Hands the jobs over and records what has ended. */
    public void drain() {
        long startedAt = System.nanoTime();
        Event.of("process.stopping").info();
        node.loop()
                .execute(
                        () -> {
                            node.network().announceLeaving();
                            worker.handOverJobs();
                        });
        long latest = startedAt + HAND_OVER.toNanos();
        do {
            sleep();
        } while (!worker.isIdle() && System.nanoTime() - latest < 0);
        Event.of("process.stopped")
                .with("ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt))
                .info();
    }

    private static void sleep() {
        try {
            TimeUnit.MILLISECONDS.sleep(STEP_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        internal.close();
        node.close();
    }
}
