package org.sardinelift.gateway.peer;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.evacuation.EvacuationBounds;
import org.sardinelift.core.evacuation.EvacuationChange;
import org.sardinelift.core.evacuation.ZoneEvacuations;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerTable;
import org.sardinelift.core.plan.RegisteredTarget;
import org.sardinelift.gateway.NodeSettings;
import org.sardinelift.objects.ListResult;
import org.sardinelift.protocol.generated.EvacuationList;
import org.sardinelift.protocol.generated.PeerReport;
import org.sardinelift.runtime.log.LogEvent;

/**
 * The evacuated zones, from lists of the store and reports of other instances. On the event loop.
 */
public final class EvacuationReports implements ReportSection {
    /** Names that exceed this are left out of reports, which hold at most 60 KB in all. */
    private static final int MAX_REPORTED_BYTES = 8_000;

    /** Older lists are reported and taken as this old, so that sums of times can't overflow. */
    private static final Duration MAX_AGE = Duration.ofDays(1);

    /** A list of the store that was requested this much later can't be older. */
    private static final Duration MIN_CONTRADICTION = Duration.ofSeconds(5);

    private final ZoneEvacuations state;
    private final Runnable onChangeRead;
    private final List<Listener> listeners = new ArrayList<>();
    private final Set<String> unreadablePeers = new HashSet<>();
    private final List<Runnable> waitingForFirstList = new ArrayList<>();
    private @Nullable Lister lister;
    private @Nullable PeerTable peers;
    private boolean hasTriedToList;
    private boolean isContradictionLogged;
    private String failureReason = "";

    /** Lists the evacuations from the store. */
    @FunctionalInterface
    public interface Lister {
        /**
         * Requests a list.
         *
         * @param onResult receives the result, on the event loop
         */
        void list(Consumer<ListResult> onResult);
    }

    /** Is notified of evacuations; on the event loop. */
    @FunctionalInterface
    public interface Listener {
        /**
         * The evacuation of a zone has ended; its targets may be sent requests again, and may be
         * cold.
         *
         * @param zone name of the zone
         */
        void onEvacuationEnded(String zone);
    }

    private EvacuationReports(ZoneEvacuations state, Runnable onChangeRead) {
        this.state = state;
        this.onChangeRead = onChangeRead;
    }

    /**
     * Creates the state of an instance that knows no evacuations.
     *
     * @param settings zone of the instance and time within which evacuations must take effect
     * @param onChangeRead runs when a change was read from the store, which others need to know
     * @return the state, empty where evacuations aren't read
     */
    static Optional<EvacuationReports> of(NodeSettings settings, Runnable onChangeRead) {
        return settings.evacuationTime()
                .map(EvacuationBounds::within)
                .map(bounds -> ZoneEvacuations.create(settings.zone(), bounds))
                .map(state -> new EvacuationReports(state, onChangeRead));
    }

    /**
     * Sets what lists the evacuations; before the start.
     *
     * @param newLister the store
     */
    public void setLister(Lister newLister) {
        lister = newLister;
    }

    /**
     * Adds a listener.
     *
     * @param listener the listener
     */
    public void addListener(Listener listener) {
        listeners.add(listener);
    }

    /**
     * Runs an action once the first list was answered or has failed, so that an instance that
     * starts knows the evacuated zones before their targets.
     *
     * @param action the action
     */
    public void runAfterFirstList(Runnable action) {
        if (hasTriedToList) {
            action.run();
        } else {
            waitingForFirstList.add(action);
        }
    }

    /**
     * The evacuations as this instance knows them.
     *
     * @return the evacuations, to be read only
     */
    public ZoneEvacuations state() {
        return state;
    }

    /**
     * Whether nothing may be sent to a target.
     *
     * @param target the target
     * @return whether its zone is evacuated
     */
    public boolean isExcluded(RegisteredTarget target) {
        return state.isEvacuated(target.zone());
    }

    @Override
    public void tick(PeerTable newPeers, long now) {
        peers = newPeers;
        if (lister != null && state.isListDue(newPeers, now)) {
            state.onListStarted();
            lister.list(result -> onResult(result, now));
        }
    }

    private void onResult(ListResult result, long askedAt) {
        long now = System.nanoTime();
        if (result instanceof ListResult.Listed listed) {
            failureReason = "";
            onListed(listed, askedAt, now);
        } else if (result instanceof ListResult.Unavailable unavailable) {
            state.onListFailed(now);
            logFailure(unavailable.reason());
        }
        hasTriedToList = true;
        waitingForFirstList.forEach(Runnable::run);
        waitingForFirstList.clear();
    }

    private void onListed(ListResult.Listed listed, long askedAt, long now) {
        logContradiction(listed.revision(), askedAt);
        Set<String> zones =
                listed.objects().stream()
                        .map(object -> object.key().name())
                        .collect(Collectors.toSet());
        List<EvacuationChange> changes =
                state.onStoreList(
                        new org.sardinelift.core.evacuation.EvacuationList(
                                zones, listed.revision(), askedAt),
                        now);
        onChanges(changes);
        if (!changes.isEmpty()) {
            onChangeRead.run();
        }
    }

    /** The known list stays; the store may have been restored from an older state. */
    private void logContradiction(long revision, long askedAt) {
        boolean isContradicted =
                state.current()
                        .filter(known -> known.revision() > revision)
                        .filter(known -> askedAt - known.listedAt() > MIN_CONTRADICTION.toNanos())
                        .isPresent();
        if (isContradicted && !isContradictionLogged) {
            LogEvent.of("evacuations.stale")
                    .with("revision", revision)
                    .with("kept_revision", state.current().orElseThrow().revision())
                    .with("source", ZoneEvacuations.STORE)
                    .warn();
        }
        isContradictionLogged = isContradicted;
    }

    private void logFailure(String reason) {
        if (!reason.equals(failureReason)) {
            LogEvent.of("evacuations.unavailable").with("reason", reason).warn();
        }
        failureReason = reason;
    }

    @Override
    public void onPeerRemoved(String name) {
        state.onPeerRemoved(name);
        unreadablePeers.remove(name);
    }

    @Override
    public void addTo(PeerReport report, boolean isFull, long now) {
        if (peers == null) {
            return;
        }
        state.listToReport(isFull, peers, now)
                .filter(
                        list ->
                                list.zones().stream().mapToInt(EvacuationReports::bytes).sum()
                                        <= MAX_REPORTED_BYTES)
                .ifPresent(
                        list ->
                                report.setEvacuations(
                                        new EvacuationList(
                                                list.zones().stream().sorted().toList(),
                                                list.revision(),
                                                Math.min(
                                                        TimeUnit.NANOSECONDS.toMillis(
                                                                now - list.listedAt()),
                                                        MAX_AGE.toMillis()))));
    }

    private static int bytes(String zone) {
        return zone.getBytes(StandardCharsets.UTF_8).length;
    }

    @Override
    public void onReport(Peer peer, PeerReport report, long now) {
        if (!report.isSetEvacuations()) {
            return;
        }
        EvacuationList list = report.getEvacuations();
        if (!list.isSetZones() || list.getRevision() < 0 || list.getAgeMs() < 0) {
            if (unreadablePeers.add(peer.name())) {
                LogEvent.of("evacuations.unreadable")
                        .with("peer", peer.name())
                        .with("revision", list.getRevision())
                        .with("age_ms", list.getAgeMs())
                        .warn();
            }
            return;
        }
        long ageMs = Math.min(list.getAgeMs(), MAX_AGE.toMillis());
        onChanges(
                state.onPeerList(
                        peer.name(),
                        new org.sardinelift.core.evacuation.EvacuationList(
                                Set.copyOf(list.getZones()),
                                list.getRevision(),
                                now - TimeUnit.MILLISECONDS.toNanos(ageMs)),
                        now));
    }

    private void onChanges(List<EvacuationChange> changes) {
        changes.forEach(
                change -> {
                    EvacuationMetrics.recordChange(change);
                    LogEvent.of(change.isEvacuated() ? "evacuation.started" : "evacuation.ended")
                            .with("zone", change.zone())
                            .with("revision", change.revision())
                            .with("source", change.source())
                            .with("age_ms", TimeUnit.NANOSECONDS.toMillis(change.ageNanos()))
                            .info();
                });
        changes.stream()
                .filter(change -> !change.isEvacuated())
                .forEach(
                        change ->
                                listeners.forEach(
                                        listener -> listener.onEvacuationEnded(change.zone())));
    }
}
