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
import org.sardinelift.http.HttpAnswer;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.runtime.ControlThread;
import org.sardinelift.runtime.log.Event;

/**
 * Looks for operators' requests to empty this instance, hands its work to others and reports when
 * it is done. The last instance that could do the work stays until another one has come. Works on
 * the control thread.
 */
final class RetirementWatch {
    private static final Duration INTERVAL = Duration.ofMillis(2_500);
    private static final Duration RETRY = Duration.ofMillis(400);
    private static final int OK = 200;

    private final PlatformAdapter adapter;
    private final NodeSettings settings;
    private final ObjectStore store;
    private final HttpClient client;
    private final ControlThread control;
    private final StoreAvailability contact;
    private final Workload work;
    private boolean asked;
    private boolean handedOver;
    private boolean startReported;

    /** What is to be handed over. */
    interface Workload {
        /** Who can take the work. */
        CompletableFuture<SuccessorState> succession();

        /** Leaves the work to others. */
        void handOver();

        /** Takes work again, since nobody else would. */
        void resume();

        /** Whether nothing is left here that must last. */
        boolean isEmpty();
    }

    RetirementWatch(
            PlatformAdapter adapter,
            NodeSettings settings,
            ObjectStore store,
            HttpClient client,
            ControlThread control,
            StoreAvailability contact,
            Workload work) {
        this.adapter = adapter;
        this.settings = settings;
        this.store = store;
        this.client = client;
        this.control = control;
        this.contact = contact;
        this.work = work;
    }

    void start() {
        adapter.retirementKind().ifPresent(kind -> control.execute(() -> look(kind)));
    }

    private void look(String kind) {
        ObjectKey key = new ObjectKey(kind, settings.instance());
        store.read(key)
                .thenAcceptAsync(
                        result -> {
                            contact.onResult(result);
                            if (result instanceof ReadResult.Found) {
                                onAsked(key);
                            } else {
                                control.schedule(INTERVAL, () -> look(kind));
                            }
                        },
                        control::execute);
    }

    private void onAsked(ObjectKey key) {
        if (!asked) {
            asked = true;
            Event.of("retirement.asked").with("role", PeerRole.WORKER.label()).info();
        }
        work.succession().thenAcceptAsync(found -> step(key, found), control::execute);
    }

    private void step(ObjectKey key, SuccessorState succession) {
        boolean wasHandedOver = handedOver;
        handedOver =
                handedOver
                        ? succession != SuccessorState.NONE
                        : succession == SuccessorState.PRESENT;
        if (handedOver != wasHandedOver) {
            Event.of(handedOver ? "retirement.handing_over" : "retirement.stays").info();
            if (handedOver) {
                work.handOver();
            } else {
                work.resume();
            }
        }
        boolean isDone = wasHandedOver && succession == SuccessorState.PRESENT && work.isEmpty();
        if (!startReported) {
            report(key, false);
        } else if (isDone) {
            report(key, true);
        } else {
            control.schedule(RETRY, () -> onAsked(key));
        }
    }

    private void report(ObjectKey key, boolean done) {
        var request = adapter.retirementStatusRequest(key, done);
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
                .thenAcceptAsync(answer -> onReported(key, done, answer), control::execute);
    }

    private void onReported(ObjectKey key, boolean done, Optional<HttpAnswer> answer) {
        boolean reported = answer.filter(it -> it.status() == OK).isPresent();
        Event.of("retirement.reported")
                .with("done", done)
                .with("status", answer.map(HttpAnswer::status).orElse(0))
                .with(
                        "answer",
                        answer.map(it -> new String(it.body(), StandardCharsets.UTF_8))
                                .filter(text -> !reported)
                                .orElse(null))
                .info();
        startReported |= reported;
        if (!reported || !done) {
            control.schedule(RETRY, () -> onAsked(key));
        }
    }
}
