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
 * Decides which calls run on a target. Online calls start at once while slots are free, and
 * otherwise preempt batch calls. Batch calls get the slots that online calls leave, less a reserve
 * that follows recent online peaks. Decisions are based on the gate's own counts; the target's late
 * reports only add load from other sources. Slot time is divided between teams by weight,
 * separately for online and batch calls. Not safe for use by several threads.
 */
public final class SlotGate {
    private final GateSettings settings;
    private final FairQueue online = new FairQueue();
    private final FairQueue batch = new FairQueue();
    private final Map<String, Running> running = new LinkedHashMap<>();
    private final Map<String, GateCall> preemptedCalls = new HashMap<>();
    private final OnlinePeak peak;
    private final ForeignLoad foreignLoad;
    private int slots;
    private int onlineRunning;
    private @Nullable GateRefusal closeReason;

    private SlotGate(GateSettings settings) {
        this.settings = settings;
        this.slots = settings.slots();
        this.peak = new OnlinePeak(settings.reserveHalfLifeMs());
        this.foreignLoad = new ForeignLoad(settings.reportSlackMs(), settings.reportTtlMs());
    }

    /**
     * Creates an open gate.
     *
     * @param settings settings of the gate
     * @return a gate without calls
     */
    public static SlotGate create(GateSettings settings) {
        return new SlotGate(settings);
    }

    /**
     * Submits a call that needs a slot.
     *
     * @param nowMs gate time, milliseconds
     * @param call the call
     * @return actions to perform
     */
    public List<GateAction> submit(long nowMs, GateCall call) {
        List<GateAction> actions = new ArrayList<>();
        if (closeReason != null) {
            actions.add(new GateAction.Refuse(call.id(), closeReason, false));
            return actions;
        }
        if (!settings.isEnabled()) {
            run(nowMs, call, 0, actions);
            return actions;
        }
        queue(call).add(call);
        schedule(nowMs, actions);
        limitQueue(online, settings.maxOnlineQueue(), actions);
        limitQueue(batch, settings.maxBatchQueue(), actions);
        return actions;
    }

    /**
     * Releases the slot of a call that has ended, or removes a waiting call that is no longer
     * wanted.
     *
     * @param nowMs gate time, milliseconds
     * @param id the call; unknown ones are ignored
     * @return actions to perform
     */
    public List<GateAction> release(long nowMs, String id) {
        List<GateAction> actions = new ArrayList<>();
        Running ended = running.get(id);
        if (ended != null) {
            releaseSlot(nowMs, ended);
        } else {
            online.remove(id).or(() -> batch.remove(id));
            preemptedCalls.remove(id);
        }
        schedule(nowMs, actions);
        return actions;
    }

    /**
     * Handles the passing of time: refuses calls past their deadline, and starts batch calls as the
     * reserve shrinks.
     *
     * @param nowMs gate time, milliseconds
     * @return actions to perform
     */
    public List<GateAction> tick(long nowMs) {
        List<GateAction> actions = new ArrayList<>();
        expire(nowMs, online, actions);
        expire(nowMs, batch, actions);
        schedule(nowMs, actions);
        return actions;
    }

    /**
     * Handles a load report of the target.
     *
     * @param nowMs gate time, milliseconds
     * @param load the report
     * @return actions to perform
     */
    public List<GateAction> onLoadReport(long nowMs, EngineLoad load) {
        foreignLoad.onReport(nowMs, load);
        if (load.slots() > 0) {
            slots = load.slots();
        }
        return tick(nowMs);
    }

    /**
     * Records the progress of a running call; calls with less progress are preempted first.
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
     * Closes the gate: starts no more calls, and refuses those that wait.
     *
     * @param reason reason of the refusals
     * @return actions to perform
     */
    public List<GateAction> close(GateRefusal reason) {
        List<GateAction> actions = new ArrayList<>();
        closeReason = reason;
        online.removeAll(call -> true, call -> refuse(call, reason, actions));
        batch.removeAll(call -> true, call -> refuse(call, reason, actions));
        return actions;
    }

    /** Opens the gate again. */
    public void open() {
        closeReason = null;
    }

    /**
     * Returns the number of slots of the target.
     *
     * @return calls that it runs at once
     */
    public int slots() {
        return slots;
    }

    /**
     * Returns the number of online calls that have a slot.
     *
     * @return number of calls
     */
    public int onlineRunning() {
        return onlineRunning;
    }

    /**
     * Returns the number of batch calls that have a slot.
     *
     * @return number of calls
     */
    public int batchRunning() {
        return running.size() - onlineRunning;
    }

    /**
     * Returns the number of waiting online calls.
     *
     * @return number of calls
     */
    public int onlineQueued() {
        return online.size();
    }

    /**
     * Returns the number of waiting batch calls.
     *
     * @return number of calls
     */
    public int batchQueued() {
        return batch.size();
    }

    /**
     * Returns the number of batch calls that can be submitted now: those that would start at once,
     * and some that wait ahead.
     *
     * @param nowMs gate time, milliseconds
     * @return number of calls
     */
    public int batchFree(long nowMs) {
        if (closeReason != null || online.size() > 0) {
            return 0;
        }
        int limit = batchLimit(nowMs);
        int wanted = limit <= 0 ? 0 : limit + settings.batchAhead();
        return Math.max(0, wanted - batchRunning() - batch.size());
    }

    private void schedule(long nowMs, List<GateAction> actions) {
        if (closeReason != null || !settings.isEnabled()) {
            return;
        }
        while (running.size() > slots && batchRunning() > 0) {
            preempt(nowMs, actions);
        }
        while (running.size() < slots || batchRunning() > 0) {
            Optional<FairQueue.ChargedCall> next = online.poll(call -> canStart(nowMs, call));
            if (next.isEmpty()) {
                break;
            }
            if (running.size() >= slots) {
                preempt(nowMs, actions);
            }
            run(nowMs, next.get().call(), next.get().costMs(), actions);
        }
        while (running.size() < slots && batchRunning() < batchLimit(nowMs)) {
            Optional<FairQueue.ChargedCall> next = batch.poll(call -> canStart(nowMs, call));
            if (next.isEmpty()) {
                break;
            }
            run(nowMs, next.get().call(), next.get().costMs(), actions);
        }
    }

    private int batchLimit(long nowMs) {
        int wanted = peak.slotsToReserve(nowMs, onlineRunning);
        int reserve = Math.max(settings.minReserve(), Math.min(settings.maxReserve(), wanted));
        int left = slots - onlineRunning - foreignLoad.count(nowMs);
        return left - Math.min(reserve, slots - 1);
    }

    private boolean canStart(long nowMs, GateCall call) {
        return nowMs < call.deadlineMs() && !(call.isSuspect() && isSuspectRunning());
    }

    private boolean isSuspectRunning() {
        return running.values().stream().anyMatch(other -> other.charged.call().isSuspect());
    }

    private void run(long nowMs, GateCall waiting, double costMs, List<GateAction> actions) {
        GateCall original = preemptedCalls.remove(waiting.id());
        GateCall call = original == null ? waiting : original;
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
        releaseSlot(nowMs, victim);
        GateCall call = victim.charged.call();
        if (call.isResumable()) {
            preemptedCalls.put(call.id(), call);
            batch.addFirst(call.withDeadlineAtMost(nowMs + settings.resumeWaitMs()));
        }
        actions.add(new GateAction.Preempt(call.id(), call.isResumable()));
    }

    private void releaseSlot(long nowMs, Running ended) {
        GateCall call = ended.charged.call();
        running.remove(call.id());
        if (!call.isBatch()) {
            onlineRunning--;
        }
        if (settings.isEnabled()) {
            queue(call).correctCharge(ended.charged, nowMs - ended.startedMs);
        }
        recordCounts(nowMs);
    }

    private void recordCounts(long nowMs) {
        peak.record(nowMs, onlineRunning);
        foreignLoad.recordOwnCalls(nowMs, running.size());
    }

    private void expire(long nowMs, FairQueue queue, List<GateAction> actions) {
        queue.removeAll(
                call -> nowMs >= call.deadlineMs(),
                call -> refuse(call, GateRefusal.DEADLINE_EXCEEDED, actions));
    }

    private void limitQueue(FairQueue queue, int bound, List<GateAction> actions) {
        while (queue.size() > bound) {
            queue.removeFromLongest()
                    .ifPresent(call -> refuse(call, GateRefusal.QUEUE_FULL, actions));
        }
    }

    private void refuse(GateCall call, GateRefusal reason, List<GateAction> actions) {
        GateCall original = preemptedCalls.remove(call.id());
        boolean hasResumeTimedOut =
                original != null
                        && reason == GateRefusal.DEADLINE_EXCEEDED
                        && call.deadlineMs() < original.deadlineMs();
        GateRefusal reportedReason = hasResumeTimedOut ? GateRefusal.PREEMPTED : reason;
        actions.add(new GateAction.Refuse(call.id(), reportedReason, original != null));
    }

    private FairQueue queue(GateCall call) {
        return call.isBatch() ? batch : online;
    }

    private static final class Running {
        static final Comparator<Running> LEAST_WORK_LOST =
                Comparator.comparing((Running call) -> !call.charged.call().isResumable())
                        .thenComparingLong(call -> call.bytes)
                        .thenComparingLong(call -> -call.startedMs);

        private final FairQueue.ChargedCall charged;
        private final long startedMs;
        private long bytes;

        Running(FairQueue.ChargedCall charged, long startedMs) {
            this.charged = charged;
            this.startedMs = startedMs;
        }
    }
}
