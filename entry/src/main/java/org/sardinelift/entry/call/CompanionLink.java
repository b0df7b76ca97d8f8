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

/** One companion: a connection for each lane, its last report, and the calls that are with it. */
final class CompanionLink {
    private final InstanceInfo companion;
    private final Ejection ejection;
    private final CompanionListener evidence;
    private final Map<Lane, LinkOpener.Link> links = new EnumMap<>(Lane.class);
    private final Map<Lane, FrameConnection> connections = new ConcurrentHashMap<>();
    private final Map<String, CallRun> runs = new ConcurrentHashMap<>();
    private final Map<String, CallRun> takenBack = new ConcurrentHashMap<>();
    private final AtomicInteger onlineInFlight = new AtomicInteger();
    private final AtomicInteger batchSinceReport = new AtomicInteger();
    private volatile @Nullable LoadReport report;
    private volatile boolean setListedLeaving;

    private CompanionLink(InstanceInfo companion, Ejection ejection, CompanionListener evidence) {
        this.evidence = evidence;
        this.companion = companion;
        this.ejection = ejection;
        this.setListedLeaving = companion.isLeaving();
    }

    static CompanionLink open(
            InstanceInfo companion,
            Ejection ejection,
            LinkOpener opener,
            CompanionListener evidence) {
        CompanionLink link = new CompanionLink(companion, ejection, evidence);
        for (Lane lane : Lane.values()) {
            link.links.put(lane, opener.open(companion, lane, link.listener(lane)));
        }
        return link;
    }

    String name() {
        return companion.name();
    }

    String target() {
        LoadReport last = report;
        return last == null || last.getTarget() == null ? companion.target() : last.getTarget();
    }

    String targetIncarnation() {
        LoadReport last = report;
        return last == null || last.getTargetIncarnation() == null
                ? ""
                : last.getTargetIncarnation();
    }

    void setListedLeaving(boolean leaving) {
        setListedLeaving = leaving;
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
        LoadReport last = report;
        if (last == null) {
            return new Candidate(
                    name(), "", companion.zone(), Set.of(), 0, 0, 0, false, admission(nowNanos));
        }
        return new Candidate(
                name(),
                last.getServiceName(),
                companion.zone(),
                last.getModels() == null ? Set.of() : Set.copyOf(last.getModels()),
                last.getSlots(),
                onlineInFlight.get(),
                last.getOnlineRunning() + last.getOnlineQueued(),
                usable(lane, last),
                admission(nowNanos));
    }

    /** The target for the giver of orders; empty before its first report and while it leaves. */
    Optional<TargetView> targetView() {
        LoadReport last = report;
        if (last == null || last.isLeaving() || setListedLeaving) {
            return Optional.empty();
        }
        return Optional.of(
                new TargetView(
                        name(),
                        last.getServiceName(),
                        usable(Lane.CONTROL, last) && usable(Lane.ONLINE, last),
                        last.getModels() == null ? Set.of() : Set.copyOf(last.getModels()),
                        last.getVersions() == null ? Map.of() : Map.copyOf(last.getVersions()),
                        last.getRole() == null ? "" : last.getRole()));
    }

    /** Sends an order; false where no control connection is open. */
    boolean sendOrder(Order order) {
        FrameConnection connection = connections.get(Lane.CONTROL);
        return connection != null && connection.send(Frame.order(order));
    }

    int freeBatchSlots(String service, String model, long nowNanos) {
        LoadReport last = report;
        boolean fits =
                last != null
                        && usable(Lane.BATCH, last)
                        && service.equals(last.getServiceName())
                        && candidate(Lane.BATCH, nowNanos).canServe(model)
                        && admission(nowNanos) == Ejection.Admission.IN;
        return fits ? Math.max(0, last.getBatchFree() - batchSinceReport.get()) : 0;
    }

    boolean tryReserve(CallRun run, Lane lane, long nowNanos) {
        synchronized (ejection) {
            Ejection.Admission now = ejection.admission(nowNanos);
            if (now == Ejection.Admission.OUT
                    || now == Ejection.Admission.PROBE && !ejection.tryStartProbe(nowNanos)) {
                return false;
            }
        }
        runs.put(run.requestId(), run);
        (lane == Lane.BATCH ? batchSinceReport : onlineInFlight).incrementAndGet();
        return true;
    }

    void release(CallRun run, Lane lane) {
        if (runs.remove(run.requestId(), run) && lane != Lane.BATCH) {
            onlineInFlight.decrementAndGet();
        }
    }

    /** Keeps the end of a call's attempt that was taken back from being missed. */
    void watchRequeued(CallRun run) {
        takenBack.put(run.requestId(), run);
    }

    void unwatchRequeued(CallRun run) {
        takenBack.remove(run.requestId(), run);
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

    private boolean usable(Lane lane, LoadReport last) {
        return !setListedLeaving
                && !last.isLeaving()
                && last.isHealthy()
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
            public void onUp(FrameConnection connection) {
                connections.put(lane, connection);
                tellConnection(lane, true);
                runs.values().forEach(run -> run.onUp(CompanionLink.this, lane, connection));
            }

            @Override
            public void onFrame(FrameConnection connection, Frame frame) {
                if (connections.get(lane) == connection) {
                    CompanionLink.this.onFrame(frame);
                }
            }

            @Override
            public void onDown(FrameConnection connection, String reason) {
                if (!connections.remove(lane, connection)) {
                    return;
                }
                Logger.info(
                        "The {} connection to {} is down ({}); its calls are asked after on the"
                                + " next one",
                        lane,
                        name(),
                        reason);
                tellConnection(lane, false);
                runs.values().forEach(run -> run.onDown(CompanionLink.this, lane));
            }
        };
    }

    private void onFrame(Frame frame) {
        switch (frame.getSetField()) {
            case HEAD -> {
                Head head = frame.getHead();
                with(runs, head.getRequestId(), run -> run.onHead(this, head));
            }
            case DATA -> {
                Data data = frame.getData();
                with(runs, data.getRequestId(), run -> run.onData(this, data));
            }
            case FINISH -> {
                Finish finish = frame.getFinish();
                with(runs, finish.getRequestId(), run -> run.onFinish(this, finish));
                with(
                        takenBack,
                        finish.getRequestId(),
                        run -> run.onFinishAfterRequeue(this, finish));
            }
            case QUERY_ANSWER -> {
                QueryAnswer answer = frame.getQueryAnswer();
                with(runs, answer.getRequestId(), run -> run.onQueryAnswer(this, answer));
            }
            case LOAD_REPORT -> onReport(frame.getLoadReport());
            case ORDER_RESULT -> evidence.onOrderResult(frame.getOrderResult());
            default -> Logger.debug("A {} frame from {} is not for calls", frame, name());
        }
    }

    private void onReport(LoadReport next) {
        LoadReport last = report;
        report = next;
        batchSinceReport.set(0);
        if (next.isLeaving() && (last == null || !last.isLeaving())) {
            evidence.onLeaving(name());
        }
    }

    private void tellConnection(Lane lane, boolean up) {
        if (lane == Lane.CONTROL) {
            evidence.onConnection(name(), up);
        }
    }

    private static void with(
            Map<String, CallRun> from, @Nullable String requestId, Consumer<CallRun> action) {
        CallRun run = requestId == null ? null : from.get(requestId);
        if (run != null) {
            action.accept(run);
        }
    }
}
