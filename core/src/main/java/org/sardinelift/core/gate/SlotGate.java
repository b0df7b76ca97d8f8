package org.sardinelift.core.gate;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Decides which calls run on a target. Online calls start at once while slots are free and take
 * them from batch calls where none is. Batch calls take what online calls leave, less a reserve
 * that follows recent online peaks. Own counts decide; the target's late reports only add load that
 * is not ours. Teams share by weight, online and batch each. Not safe for use by several threads.
 */
public final class SlotGate {
    private final GateSettings settings;
    private final FairQueue online = new FairQueue();
    private final FairQueue batch = new FairQueue();
    private final Map<String, Running> running = new LinkedHashMap<>();
    private final Map<String, GateCall> cut = new HashMap<>();
    private final OnlinePeak peak;
    private final ForeignLoad foreign;
    private int slots;
    private int onlineRunning;
    private @Nullable GateRefusal closedFor;

    private SlotGate(GateSettings settings) {
        this.settings = settings;
        this.slots = settings.slots();
        this.peak = new OnlinePeak(settings.reserveHalfLifeMs());
        this.foreign = new ForeignLoad(settings.reportSlackMs(), settings.reportTtlMs());
    }

    /**
     * Makes an open gate.
     *
     * @param settings bounds
     * @return a gate without calls
     */
    public static SlotGate create(GateSettings settings) {
        return new SlotGate(settings);
    }

    /**
     * A call asks for a slot.
     *
     * @param nowMs gate time, milliseconds
     * @param call the call
     * @return what to do
     */
    public List<GateAction> submit(long nowMs, GateCall call) {
        List<GateAction> actions = new ArrayList<>();
        if (closedFor != null) {
            actions.add(new GateAction.Refuse(call.id(), closedFor, false));
            return actions;
        }
        if (!settings.isEnabled()) {
            run(nowMs, call, 0, actions);
            return actions;
        }
        queue(call).add(call);
        schedule(nowMs, actions);
        boundQueue(online, settings.maxOnlineQueue(), actions);
        boundQueue(batch, settings.maxBatchQueue(), actions);
        return actions;
    }

    /**
     * A call has ended, or nobody wants it any more; it gives its slot or its place back.
     *
     * @param nowMs gate time, milliseconds
     * @param id the call; unknown ones are ignored
     * @return what to do
     */
    public List<GateAction> release(long nowMs, String id) {
        List<GateAction> actions = new ArrayList<>();
        Running ended = running.get(id);
        if (ended != null) {
            giveBack(nowMs, ended);
        } else {
            online.remove(id).or(() -> batch.remove(id));
            cut.remove(id);
        }
        schedule(nowMs, actions);
        return actions;
    }

    /**
     * Time has passed: calls past their deadline are refused, the reserve shrinks.
     *
     * @param nowMs gate time, milliseconds
     * @return what to do
     */
    public List<GateAction> tick(long nowMs) {
        List<GateAction> actions = new ArrayList<>();
        expire(nowMs, online, actions);
        expire(nowMs, batch, actions);
        schedule(nowMs, actions);
        return actions;
    }

    /**
     * The target has reported its load.
     *
     * @param nowMs gate time, milliseconds
     * @param load the report
     * @return what to do
     */
    public List<GateAction> onLoadReport(long nowMs, EngineLoad load) {
        foreign.onReport(nowMs, load);
        if (load.slots() > 0) {
            slots = load.slots();
        }
        return tick(nowMs);
    }

    /**
     * Notes how far a running call has come; one that has done less is cut first.
     *
     * @param id the call
     * @param bytes bytes of its answer so far
     */
    public void recordProgress(String id, long bytes) {
        Running call = running.get(id);
        if (call != null) {
            call.bytes = bytes;
        }
    }

    /**
     * Starts no call any more; those that wait are refused.
     *
     * @param reason why
     * @return what to do
     */
    public List<GateAction> close(GateRefusal reason) {
        List<GateAction> actions = new ArrayList<>();
        closedFor = reason;
        online.removeAll(call -> true, call -> refuse(call, reason, actions));
        batch.removeAll(call -> true, call -> refuse(call, reason, actions));
        return actions;
    }

    /** Starts calls again. */
    public void open() {
        closedFor = null;
    }

    /**
     * Slots of the target.
     *
     * @return calls that it runs at once
     */
    public int slots() {
        return slots;
    }

    /**
     * Online calls that have a slot.
     *
     * @return their number
     */
    public int onlineRunning() {
        return onlineRunning;
    }

    /**
     * Batch calls that have a slot.
     *
     * @return their number
     */
    public int batchRunning() {
        return running.size() - onlineRunning;
    }

    /**
     * Online calls that wait.
     *
     * @return their number
     */
    public int onlineQueued() {
        return online.size();
    }

    /**
     * Batch calls that wait.
     *
     * @return their number
     */
    public int batchQueued() {
        return batch.size();
    }

    /**
     * Batch calls that are wanted: those that would start at once and some that wait ahead.
     *
     * @param nowMs gate time, milliseconds
     * @return their number
     */
    public int batchFree(long nowMs) {
        if (closedFor != null || online.size() > 0) {
            return 0;
        }
        int limit = batchLimit(nowMs);
        int wanted = limit <= 0 ? 0 : limit + settings.batchAhead();
        return Math.max(0, wanted - batchRunning() - batch.size());
    }

    private void schedule(long nowMs, List<GateAction> actions) {
        if (closedFor != null || !settings.isEnabled()) {
            return;
        }
        while (running.size() > slots && batchRunning() > 0) {
            preempt(nowMs, actions);
        }
        while (running.size() < slots || batchRunning() > 0) {
            Optional<FairQueue.ChargedCall> next = online.poll(call -> startable(nowMs, call));
            if (next.isEmpty()) {
                break;
            }
            if (running.size() >= slots) {
                preempt(nowMs, actions);
            }
            run(nowMs, next.get().call(), next.get().costMs(), actions);
        }
        while (running.size() < slots && batchRunning() < batchLimit(nowMs)) {
            Optional<FairQueue.ChargedCall> next = batch.poll(call -> startable(nowMs, call));
            if (next.isEmpty()) {
                break;
            }
            run(nowMs, next.get().call(), next.get().costMs(), actions);
        }
    }

    private int batchLimit(long nowMs) {
        int wanted = peak.slotsToReserve(nowMs, onlineRunning);
        int reserve = Math.max(settings.minReserve(), Math.min(settings.maxReserve(), wanted));
        int left = slots - onlineRunning - foreign.count(nowMs);
        return left - Math.min(reserve, slots - 1);
    }

    private boolean startable(long nowMs, GateCall call) {
        return nowMs < call.deadlineMs() && !(call.isSuspect() && suspectRuns());
    }

    private boolean suspectRuns() {
        return running.values().stream().anyMatch(other -> other.charged.call().isSuspect());
    }

    private void run(long nowMs, GateCall waiting, double costMs, List<GateAction> actions) {
        GateCall whole = cut.remove(waiting.id());
        GateCall call = whole == null ? waiting : whole;
        running.put(call.id(), new Running(new FairQueue.ChargedCall(call, costMs), nowMs));
        if (!call.isBatch()) {
            onlineRunning++;
        }
        recordCounts(nowMs);
        actions.add(new GateAction.Run(call.id()));
    }

    private void preempt(long nowMs, List<GateAction> actions) {
        Running victim =
                running.values().stream()
                        .filter(call -> call.charged.call().isBatch())
                        .min(Running.LEAST_WORK_LOST)
                        .orElseThrow();
        giveBack(nowMs, victim);
        GateCall call = victim.charged.call();
        if (call.isResumable()) {
            cut.put(call.id(), call);
            batch.addFirst(call.startBefore(nowMs + settings.resumeWaitMs()));
        }
        actions.add(new GateAction.Preempt(call.id(), call.isResumable()));
    }

    private void giveBack(long nowMs, Running ended) {
        GateCall call = ended.charged.call();
        running.remove(call.id());
        if (!call.isBatch()) {
            onlineRunning--;
        }
        if (settings.isEnabled()) {
            queue(call).correctCharge(ended.charged, nowMs - ended.sinceMs);
        }
        recordCounts(nowMs);
    }

    private void recordCounts(long nowMs) {
        peak.record(nowMs, onlineRunning);
        foreign.recordOwnCalls(nowMs, running.size());
    }

    private void expire(long nowMs, FairQueue queue, List<GateAction> actions) {
        queue.removeAll(
                call -> nowMs >= call.deadlineMs(),
                call -> refuse(call, GateRefusal.DEADLINE_EXCEEDED, actions));
    }

    private void boundQueue(FairQueue queue, int bound, List<GateAction> actions) {
        while (queue.size() > bound) {
            queue.removeFromLongest()
                    .ifPresent(call -> refuse(call, GateRefusal.QUEUE_FULL, actions));
        }
    }

    private void refuse(GateCall call, GateRefusal reason, List<GateAction> actions) {
        GateCall whole = cut.remove(call.id());
        boolean waitedTooLong =
                whole != null
                        && reason == GateRefusal.DEADLINE_EXCEEDED
                        && call.deadlineMs() < whole.deadlineMs();
        GateRefusal shown = waitedTooLong ? GateRefusal.PREEMPTED : reason;
        actions.add(new GateAction.Refuse(call.id(), shown, whole != null));
    }

    private FairQueue queue(GateCall call) {
        return call.isBatch() ? batch : online;
    }

    private static final class Running {
        static final Comparator<Running> LEAST_WORK_LOST =
                Comparator.comparing((Running call) -> !call.charged.call().isResumable())
                        .thenComparingLong(call -> call.bytes)
                        .thenComparingLong(call -> -call.sinceMs);

        private final FairQueue.ChargedCall charged;
        private final long sinceMs;
        private long bytes;

        Running(FairQueue.ChargedCall charged, long sinceMs) {
            this.charged = charged;
            this.sinceMs = sinceMs;
        }
    }
}
