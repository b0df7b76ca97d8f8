package org.sardinelift.gateway.job;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.peer.PeerTable.SuccessorState;
import org.sardinelift.gateway.NodeSettings;
import org.sardinelift.gateway.PlatformAdapter;
import org.sardinelift.gateway.feed.StoreAvailability;
import org.sardinelift.http.BufferedHttpResponse;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.runtime.ControlThread;
import org.sardinelift.runtime.log.LogEvent;

/**
 * Polls for an operator's request to retire this instance, hands its work over to other instances
 * and reports when that is done. The last instance that can do the work keeps it until another one
 * joins. Works on the control thread.
 */
final class RetirementWatch {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(2_500);
    private static final Duration RETRY_DELAY = Duration.ofMillis(400);
    private static final int OK = 200;

    private final PlatformAdapter adapter;
    private final NodeSettings settings;
    private final ObjectStore store;
    private final HttpClient client;
    private final ControlThread control;
    private final StoreAvailability storeAvailability;
    private final Workload workload;
    private boolean isRequested;
    private boolean isHandedOver;
    private boolean isStartReported;

    /** The work to hand over. */
    interface Workload {
        /** Whether another instance can take the work over. */
        CompletableFuture<SuccessorState> successorState();

        /** Hands the work over to other instances. */
        void handOver();

        /** Resumes work, since no other instance is left to do it. */
        void resume();

        /** Whether nothing is left here that must not be lost. */
        boolean isEmpty();
    }

    RetirementWatch(
            PlatformAdapter adapter,
            NodeSettings settings,
            ObjectStore store,
            HttpClient client,
            ControlThread control,
            StoreAvailability storeAvailability,
            Workload workload) {
        this.adapter = adapter;
        this.settings = settings;
        this.store = store;
        this.client = client;
        this.control = control;
        this.storeAvailability = storeAvailability;
        this.workload = workload;
    }

    void start() {
        adapter.retirementKind().ifPresent(kind -> control.execute(() -> poll(kind)));
    }

    private void poll(String kind) {
        ObjectKey key = new ObjectKey(kind, settings.instance());
        store.read(key)
                .thenAcceptAsync(
                        result -> {
                            storeAvailability.onResult(result);
                            if (result instanceof ReadResult.Found) {
                                onRequested(key);
                            } else {
                                control.schedule(POLL_INTERVAL, () -> poll(kind));
                            }
                        },
                        control::execute);
    }

    private void onRequested(ObjectKey key) {
        if (!isRequested) {
            isRequested = true;
            LogEvent.of("retirement.asked").with("role", PeerRole.WORKER.label()).info();
        }
        workload.successorState().thenAcceptAsync(state -> proceed(key, state), control::execute);
    }

    private void proceed(ObjectKey key, SuccessorState successor) {
        boolean wasHandedOver = isHandedOver;
        isHandedOver =
                isHandedOver
                        ? successor != SuccessorState.NONE
                        : successor == SuccessorState.PRESENT;
        if (isHandedOver != wasHandedOver) {
            LogEvent.of(isHandedOver ? "retirement.handing_over" : "retirement.stays").info();
            if (isHandedOver) {
                workload.handOver();
            } else {
                workload.resume();
            }
        }
        boolean isDone = wasHandedOver && successor == SuccessorState.PRESENT && workload.isEmpty();
        if (!isStartReported) {
            report(key, false);
        } else if (isDone) {
            report(key, true);
        } else {
            control.schedule(RETRY_DELAY, () -> onRequested(key));
        }
    }

    private void report(ObjectKey key, boolean isDone) {
        var request = adapter.retirementStatusRequest(key, isDone);
        HttpCall call =
                HttpCall.of(
                        settings.storeAddress().host(),
                        settings.storeAddress().port(),
                        request.method(),
                        request.uri(),
                        Map.of("content-type", "application/json"),
                        request.body(),
                        settings.storeTimeout());
        client.call(call)
                .handle((answer, error) -> Optional.ofNullable(answer))
                .thenAcceptAsync(answer -> onReported(key, isDone, answer), control::execute);
    }

    private void onReported(ObjectKey key, boolean isDone, Optional<BufferedHttpResponse> answer) {
        boolean isReported = answer.filter(response -> response.status() == OK).isPresent();
        LogEvent.of("retirement.reported")
                .with("done", isDone)
                .with("status", answer.map(BufferedHttpResponse::status).orElse(0))
                .with(
                        "answer",
                        answer.map(response -> new String(response.body(), StandardCharsets.UTF_8))
                                .filter(text -> !isReported)
                                .orElse(null))
                .info();
        isStartReported |= isReported;
        if (!isReported || !isDone) {
            control.schedule(RETRY_DELAY, () -> onRequested(key));
        }
    }
}
