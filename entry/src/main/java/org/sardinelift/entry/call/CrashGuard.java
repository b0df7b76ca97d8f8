package org.sardinelift.entry.call;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.sardinelift.core.poison.CrashBounds;
import org.sardinelift.core.poison.CrashLedger;
import org.sardinelift.core.poison.CrashVerdict;
import org.sardinelift.core.route.Rendezvous;
import org.sardinelift.entry.peer.Peers;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.protocol.FrameConnection;
import org.sardinelift.protocol.FrameListener;
import org.sardinelift.protocol.generated.CrashEvidence;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.runtime.ControlThread;
import org.tinylog.Logger;

/**
 * Shares evidence of target deaths with the other entries, and keeps refusals in the platform so
 * that a restart forgets none.
 */
public final class CrashGuard {
    private static final String KIND = "quarantine";

    private final String instance;
    private final CrashLedger ledger;
    private final PoisonBounds bounds;
    private final Peers peers;
    private final ObjectStore store;
    private final ScheduledExecutorService timers;
    private volatile Consumer<String> suspectListener = fingerprint -> {};

    private CrashGuard(
            String instance,
            PoisonBounds bounds,
            Peers peers,
            ObjectStore store,
            ScheduledExecutorService timers) {
        this.instance = instance;
        this.timers = timers;
        this.bounds = bounds;
        this.peers = peers;
        this.store = store;
        this.ledger =
                CrashLedger.of(
                        new CrashBounds(
                                bounds.suspectFor().toMillis(),
                                bounds.refuseFor().toMillis(),
                                bounds.settle().toMillis(),
                                bounds.maxEntries()));
    }

    /**
     * Makes a guard; nothing is read before {@link #start}.
     *
     * @param instance name of this entry
     * @param bounds bounds
     * @param peers the other entries
     * @param store the platform
     * @param timers runs timeouts
     * @return the guard
     */
    public static CrashGuard of(
            String instance,
            PoisonBounds bounds,
            Peers peers,
            ObjectStore store,
            ScheduledExecutorService timers) {
        return new CrashGuard(instance, bounds, peers, store, timers);
    }

    /**
     * Starts to hear of evidence and to read the quarantine.
     *
     * @param control the control thread
     */
    public void start(ControlThread control) {
        peers.listen(new EvidenceListener());
        control.execute(this::refresh);
        control.repeat(bounds.refresh(), this::refresh);
    }

    /**
     * What is known of a request.
     *
     * @param fingerprint hash of the request
     * @return its standing
     */
    public synchronized CrashVerdict verdict(String fingerprint) {
        return ledger.verdict(fingerprint, nowMs());
    }

    /**
     * Sets who takes calls back from targets when they become suspects.
     *
     * @param listener receives the fingerprint, on any thread
     */
    public void setSuspectListener(Consumer<String> listener) {
        suspectListener = listener;
    }

    /** Entries take turns, so that two of them never try a suspect on two targets at once. */
    synchronized boolean tryStartTrial(String fingerprint, String target) {
        long turnMs = turn(fingerprint) * bounds.turn().toMillis();
        return ledger.tryStartTrial(fingerprint, target, turnMs, nowMs());
    }

    private long turn(String fingerprint) {
        long own = Rendezvous.weight(fingerprint, instance);
        return peers.connected().stream()
                .filter(peer -> Rendezvous.weight(fingerprint, peer) > own)
                .count();
    }

    synchronized void endTrial(String fingerprint, String target) {
        ledger.endTrial(fingerprint, target);
    }

    synchronized void onCompleted(String fingerprint) {
        ledger.onCompleted(fingerprint);
    }

    Duration settle() {
        return bounds.settle();
    }

    Duration trialPause() {
        return bounds.trialPause();
    }

    void onTargetDeath(String fingerprint, String target, String targetIncarnation, boolean alone) {
        synchronized (this) {
            ledger.onTargetDeath(fingerprint, target + "#" + targetIncarnation, alone, nowMs());
        }
        peers.broadcast(
                Frame.crashEvidence(
                        new CrashEvidence(fingerprint, target, targetIncarnation, alone, false)));
        suspectListener.accept(fingerprint);
        timers.schedule(
                () -> settle(fingerprint), bounds.settle().toMillis(), TimeUnit.MILLISECONDS);
    }

    private void settle(String fingerprint) {
        long until;
        synchronized (this) {
            if (ledger.verdict(fingerprint, nowMs()) != CrashVerdict.REFUSED) {
                return;
            }
            until = ledger.refusedUntilMs(fingerprint);
        }
        Logger.warn(
                "Targets died with request {} in flight; it is refused on every entry until {}",
                fingerprint,
                Instant.ofEpochMilli(until));
        peers.broadcast(Frame.crashEvidence(new CrashEvidence(fingerprint, "", "", false, true)));
        store.write(
                new ObjectKey(KIND, fingerprint), ObjectStore.ABSENT_VERSION, Long.toString(until));
    }

    private void refresh() {
        store.list(KIND, "")
                .thenAccept(
                        result -> {
                            if (result instanceof ListResult.Listed listed) {
                                listed.objects().forEach(this::onKept);
                            }
                        });
    }

    private void onKept(StoredObject object) {
        long until;
        try {
            until = Long.parseLong(object.value().trim());
        } catch (NumberFormatException e) {
            Logger.error("Quarantine of {} holds no time; it was ignored", object.key().name());
            return;
        }
        if (until <= nowMs()) {
            store.delete(object.key(), object.version());
            return;
        }
        synchronized (this) {
            ledger.onRefused(object.key().name(), until);
        }
    }

    private void onEvidence(CrashEvidence evidence) {
        String fingerprint = evidence.getFingerprint();
        synchronized (this) {
            if (evidence.isRefused()) {
                ledger.onRefused(fingerprint, nowMs() + bounds.suspectFor().toMillis());
            } else {
                ledger.onTargetDeath(
                        fingerprint,
                        evidence.getTarget() + "#" + evidence.getTargetIncarnation(),
                        evidence.isAlone(),
                        nowMs());
            }
        }
        if (!evidence.isRefused()) {
            suspectListener.accept(fingerprint);
        }
    }

    private static long nowMs() {
        return System.currentTimeMillis();
    }

    private final class EvidenceListener implements FrameListener {
        @Override
        public void onUp(FrameConnection connection) {}

        @Override
        public void onFrame(FrameConnection connection, Frame frame) {
            if (frame.isSetCrashEvidence()) {
                onEvidence(frame.getCrashEvidence());
            }
        }

        @Override
        public void onDown(FrameConnection connection, String reason) {}
    }
}
