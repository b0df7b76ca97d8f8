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
 * Detects requests that crash targets. Exchanges evidence of target deaths with the other entries,
 * and stores refusals in the platform so that they survive restarts.
 */
public final class CrashGuard {
    private static final String QUARANTINE_KIND = "quarantine";

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
     * Creates a guard; nothing is read before {@link #start}.
     *
     * @param instance name of this entry
     * @param bounds time and size limits
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
     * Starts to receive evidence and to read the quarantine periodically.
     *
     * @param control the control thread
     */
    public void start(ControlThread control) {
        peers.addListener(new EvidenceListener());
        control.execute(this::readQuarantine);
        control.scheduleRepeatedly(bounds.refresh(), this::readQuarantine);
    }

    /**
     * Returns the verdict on a request.
     *
     * @param fingerprint hash of the request
     * @return the verdict
     */
    public synchronized CrashVerdict verdict(String fingerprint) {
        return ledger.verdict(fingerprint, nowMs());
    }

    /**
     * Sets the listener that requeues the calls of a request that became a suspect.
     *
     * @param listener receives the fingerprint, on any thread
     */
    public void setSuspectListener(Consumer<String> listener) {
        suspectListener = listener;
    }

    /**
     * Entries take turns, so that no two of them run trials of a suspect on two targets at once.
     */
    synchronized boolean tryStartTrial(String fingerprint, String target) {
        long turnMs = turnOf(fingerprint) * bounds.turn().toMillis();
        return ledger.tryStartTrial(fingerprint, target, turnMs, nowMs());
    }

    private long turnOf(String fingerprint) {
        long ownWeight = Rendezvous.weight(fingerprint, instance);
        return peers.connected().stream()
                .filter(peer -> Rendezvous.weight(fingerprint, peer) > ownWeight)
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

    void onTargetDeath(
            String fingerprint, String target, String targetIncarnation, boolean isSingleSuspect) {
        synchronized (this) {
            ledger.onTargetDeath(
                    fingerprint, target + "#" + targetIncarnation, isSingleSuspect, nowMs());
        }
        peers.broadcast(
                Frame.crashEvidence(
                        new CrashEvidence(
                                fingerprint, target, targetIncarnation, isSingleSuspect, false)));
        suspectListener.accept(fingerprint);
        timers.schedule(
                () -> refuseIfConfirmed(fingerprint),
                bounds.settle().toMillis(),
                TimeUnit.MILLISECONDS);
    }

    private void refuseIfConfirmed(String fingerprint) {
        long untilMs;
        synchronized (this) {
            if (ledger.verdict(fingerprint, nowMs()) != CrashVerdict.REFUSED) {
                return;
            }
            untilMs = ledger.refusedUntilMs(fingerprint);
        }
        Logger.warn(
                "Targets died with request {} in flight; every entry refuses it until {}",
                fingerprint,
                Instant.ofEpochMilli(untilMs));
        peers.broadcast(Frame.crashEvidence(new CrashEvidence(fingerprint, "", "", false, true)));
        store.write(
                new ObjectKey(QUARANTINE_KIND, fingerprint),
                ObjectStore.ABSENT_VERSION,
                Long.toString(untilMs));
    }

    private void readQuarantine() {
        store.list(QUARANTINE_KIND, "")
                .thenAccept(
                        result -> {
                            if (result instanceof ListResult.Listed listed) {
                                listed.objects().forEach(this::onQuarantined);
                            }
                        });
    }

    private void onQuarantined(StoredObject object) {
        long untilMs;
        try {
            untilMs = Long.parseLong(object.value().trim());
        } catch (NumberFormatException e) {
            Logger.error(
                    "Quarantine of request {} was ignored: its value is not a time in milliseconds",
                    object.key().name());
            return;
        }
        if (untilMs <= nowMs()) {
            store.delete(object.key(), object.version());
            return;
        }
        synchronized (this) {
            ledger.onRefused(object.key().name(), untilMs);
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
        public void onConnected(FrameConnection connection) {}

        @Override
        public void onFrame(FrameConnection connection, Frame frame) {
            if (frame.isSetCrashEvidence()) {
                onEvidence(frame.getCrashEvidence());
            }
        }

        @Override
        public void onDisconnected(FrameConnection connection, String reason) {}
    }
}
