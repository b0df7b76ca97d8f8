package org.sardinelift.entry.call;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.fleet.InstanceInfo;
import org.sardinelift.core.order.TargetView;
import org.sardinelift.core.route.Candidate;
import org.sardinelift.core.route.Ejection;
import org.sardinelift.protocol.FrameConnection;
import org.sardinelift.protocol.FrameListener;
import org.sardinelift.protocol.generated.Data;
import org.sardinelift.protocol.generated.Finish;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Head;
import org.sardinelift.protocol.generated.Lane;
import org.sardinelift.protocol.generated.LoadReport;
import org.sardinelift.protocol.generated.Order;
import org.sardinelift.protocol.generated.QueryAnswer;
import org.tinylog.Logger;

/** One companion: a connection for each lane, its last load report and its calls in flight. */
final class CompanionLink {
    private final InstanceInfo companion;
    private final Ejection ejection;
    private final CompanionListener companionListener;
    private final Map<Lane, LinkOpener.Link> links = new EnumMap<>(Lane.class);
    private final Map<Lane, FrameConnection> connections = new ConcurrentHashMap<>();
    private final Map<String, CallRun> runs = new ConcurrentHashMap<>();
    private final Map<String, CallRun> requeued = new ConcurrentHashMap<>();
    private final AtomicInteger onlineInFlight = new AtomicInteger();
    private final AtomicInteger batchSentSinceReport = new AtomicInteger();
    private volatile @Nullable LoadReport report;
    private volatile boolean isListedLeaving;

    private CompanionLink(
            InstanceInfo companion, Ejection ejection, CompanionListener companionListener) {
        this.companionListener = companionListener;
        this.companion = companion;
        this.ejection = ejection;
        this.isListedLeaving = companion.isLeaving();
    }

    static CompanionLink open(
            InstanceInfo companion,
            Ejection ejection,
            LinkOpener opener,
            CompanionListener companionListener) {
        CompanionLink link = new CompanionLink(companion, ejection, companionListener);
        for (Lane lane : Lane.values()) {
            link.links.put(lane, opener.open(companion, lane, link.listener(lane)));
        }
        return link;
    }

    String name() {
        return companion.name();
    }

    String target() {
        LoadReport lastReport = report;
        return lastReport == null || lastReport.getTarget() == null
                ? companion.target()
                : lastReport.getTarget();
    }

    String targetIncarnation() {
        LoadReport lastReport = report;
        return lastReport == null || lastReport.getTargetIncarnation() == null
                ? ""
                : lastReport.getTargetIncarnation();
    }

    void setListedLeaving(boolean isLeaving) {
        isListedLeaving = isLeaving;
    }

    @Nullable LoadReport report() {
        return report;
    }

    @Nullable FrameConnection connection(Lane lane) {
        return connections.get(lane);
    }

    boolean isCurrent(Lane lane, FrameConnection connection) {
        return connections.get(lane) == connection;
    }

    boolean isIdle() {
        return runs.isEmpty();
    }

    int onlineInFlight() {
        return onlineInFlight.get();
    }

    Candidate candidate(Lane lane, long nowNanos) {
        LoadReport lastReport = report;
        if (lastReport == null) {
            return new Candidate(
                    name(), "", companion.zone(), Set.of(), 0, 0, 0, false, admission(nowNanos));
        }
        return new Candidate(
                name(),
                lastReport.getServiceName(),
                companion.zone(),
                lastReport.getModels() == null ? Set.of() : Set.copyOf(lastReport.getModels()),
                lastReport.getSlots(),
                onlineInFlight.get(),
                lastReport.getOnlineRunning() + lastReport.getOnlineQueued(),
                isUsable(lane, lastReport),
                admission(nowNanos));
    }

    /**
     * Returns the target's state for rollouts; empty before its first report and while it leaves.
     */
    Optional<TargetView> targetView() {
        LoadReport lastReport = report;
        if (lastReport == null || lastReport.isLeaving() || isListedLeaving) {
            return Optional.empty();
        }
        return Optional.of(
                new TargetView(
                        name(),
                        lastReport.getServiceName(),
                        isUsable(Lane.CONTROL, lastReport) && isUsable(Lane.ONLINE, lastReport),
                        lastReport.getModels() == null
                                ? Set.of()
                                : Set.copyOf(lastReport.getModels()),
                        lastReport.getVersions() == null
                                ? Map.of()
                                : Map.copyOf(lastReport.getVersions()),
                        lastReport.getRole() == null ? "" : lastReport.getRole()));
    }

    /** Sends an order; returns false if no control connection is open. */
    boolean sendOrder(Order order) {
        FrameConnection connection = connections.get(Lane.CONTROL);
        return connection != null && connection.send(Frame.order(order));
    }

    int freeBatchSlots(String service, String model, long nowNanos) {
        LoadReport lastReport = report;
        boolean canServe =
                lastReport != null
                        && isUsable(Lane.BATCH, lastReport)
                        && service.equals(lastReport.getServiceName())
                        && candidate(Lane.BATCH, nowNanos).canServe(model)
                        && admission(nowNanos) == Ejection.Admission.IN;
        return canServe ? Math.max(0, lastReport.getBatchFree() - batchSentSinceReport.get()) : 0;
    }

    boolean tryReserve(CallRun run, Lane lane, long nowNanos) {
        synchronized (ejection) {
            Ejection.Admission admission = ejection.admission(nowNanos);
            if (admission == Ejection.Admission.OUT
                    || admission == Ejection.Admission.PROBE && !ejection.tryStartProbe(nowNanos)) {
                return false;
            }
        }
        runs.put(run.requestId(), run);
        (lane == Lane.BATCH ? batchSentSinceReport : onlineInFlight).incrementAndGet();
        return true;
    }

    void release(CallRun run, Lane lane) {
        if (runs.remove(run.requestId(), run) && lane != Lane.BATCH) {
            onlineInFlight.decrementAndGet();
        }
    }

    /** Keeps a requeued call, so that the end of its cancelled attempt is still received. */
    void watchRequeued(CallRun run) {
        requeued.put(run.requestId(), run);
    }

    void unwatchRequeued(CallRun run) {
        requeued.remove(run.requestId(), run);
    }

    boolean onSuccess() {
        synchronized (ejection) {
            return ejection.onSuccess();
        }
    }

    boolean onFailure(long nowNanos) {
        synchronized (ejection) {
            return ejection.onFailure(nowNanos);
        }
    }

    void onInconclusive() {
        synchronized (ejection) {
            ejection.onProbeInconclusive();
        }
    }

    void close() {
        links.values().forEach(LinkOpener.Link::close);
    }

    private boolean isUsable(Lane lane, LoadReport lastReport) {
        return !isListedLeaving
                && !lastReport.isLeaving()
                && lastReport.isHealthy()
                && connections.containsKey(lane);
    }

    private Ejection.Admission admission(long nowNanos) {
        synchronized (ejection) {
            return ejection.admission(nowNanos);
        }
    }

    private FrameListener listener(Lane lane) {
        return new FrameListener() {
            @Override
            public void onConnected(FrameConnection connection) {
                connections.put(lane, connection);
                notifyConnection(lane, true);
                runs.values().forEach(run -> run.onUp(CompanionLink.this, lane, connection));
            }

            @Override
            public void onFrame(FrameConnection connection, Frame frame) {
                if (connections.get(lane) == connection) {
                    CompanionLink.this.onFrame(frame);
                }
            }

            @Override
            public void onDisconnected(FrameConnection connection, String reason) {
                if (!connections.remove(lane, connection)) {
                    return;
                }
                Logger.info(
                        "The {} connection to {} is down ({}); its calls are queried on the"
                                + " next one",
                        lane,
                        name(),
                        reason);
                notifyConnection(lane, false);
                runs.values().forEach(run -> run.onDown(CompanionLink.this, lane));
            }
        };
    }

    private void onFrame(Frame frame) {
        switch (frame.getSetField()) {
            case HEAD -> {
                Head head = frame.getHead();
                withRun(runs, head.getRequestId(), run -> run.onHead(this, head));
            }
            case DATA -> {
                Data data = frame.getData();
                withRun(runs, data.getRequestId(), run -> run.onData(this, data));
            }
            case FINISH -> {
                Finish finish = frame.getFinish();
                withRun(runs, finish.getRequestId(), run -> run.onFinish(this, finish));
                withRun(
                        requeued,
                        finish.getRequestId(),
                        run -> run.onFinishAfterRequeue(this, finish));
            }
            case QUERY_ANSWER -> {
                QueryAnswer answer = frame.getQueryAnswer();
                withRun(runs, answer.getRequestId(), run -> run.onQueryAnswer(this, answer));
            }
            case LOAD_REPORT -> onReport(frame.getLoadReport());
            case ORDER_RESULT -> companionListener.onOrderResult(frame.getOrderResult());
            default ->
                    Logger.debug("Ignored frame {} from {}: it is not about a call", frame, name());
        }
    }

    private void onReport(LoadReport received) {
        LoadReport lastReport = report;
        report = received;
        batchSentSinceReport.set(0);
        if (received.isLeaving() && (lastReport == null || !lastReport.isLeaving())) {
            companionListener.onLeaving(name());
        }
    }

    private void notifyConnection(Lane lane, boolean isUp) {
        if (lane == Lane.CONTROL) {
            companionListener.onConnection(name(), isUp);
        }
    }

    private static void withRun(
            Map<String, CallRun> from, @Nullable String requestId, Consumer<CallRun> action) {
        CallRun run = requestId == null ? null : from.get(requestId);
        if (run != null) {
            action.accept(run);
        }
    }
}
