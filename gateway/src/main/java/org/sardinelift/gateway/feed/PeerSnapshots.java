package org.sardinelift.gateway.feed;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.gateway.peer.PeerNetwork;
import org.sardinelift.http.BufferedHttpResponse;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.runtime.ControlThread;
import org.sardinelift.runtime.log.LogEvent;

/**
 * Exchanges the configuration and the targets with peers: a newer configuration at once, the
 * targets while this instance can't read them itself. Runs on the event loop.
 */
public final class PeerSnapshots implements PeerNetwork.Listener {
    private static final String PLAN_PATH = "/plan";
    private static final String TARGETS_PATH = "/targets";
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(500);

    /** Age of the target list from which peers are asked: one list call has failed or is late. */
    private static final Duration STALE_LIST_AGE = Duration.ofMillis(1_300);

    private static final Duration LIST_CHECK_INTERVAL = Duration.ofMillis(400);
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final PeerNetwork network;
    private final HttpClient client;
    private final EventLoop loop;
    private final ControlThread control;
    private final PlanFeed planFeed;
    private final TargetFeed targetFeed;
    private final String zone;
    private boolean isFetchingPlan;
    private boolean isFetchingTargets;
    private long fetchCount;

    private PeerSnapshots(
            String zone,
            PeerNetwork network,
            HttpClient client,
            EventLoop loop,
            ControlThread control,
            PlanFeed planFeed,
            TargetFeed targetFeed) {
        this.zone = zone;
        this.network = network;
        this.client = client;
        this.loop = loop;
        this.control = control;
        this.planFeed = planFeed;
        this.targetFeed = targetFeed;
    }

    /**
     * Creates the exchange of snapshots.
     *
     * @param zone availability zone of this instance
     * @param network the other instances
     * @param client sends the calls
     * @param loop event loop that handles the traffic
     * @param control the control thread
     * @param planFeed receives configurations
     * @param targetFeed receives lists of targets
     * @return the exchange, not started
     */
    public static PeerSnapshots of(
            String zone,
            PeerNetwork network,
            HttpClient client,
            EventLoop loop,
            ControlThread control,
            PlanFeed planFeed,
            TargetFeed targetFeed) {
        return new PeerSnapshots(zone, network, client, loop, control, planFeed, targetFeed);
    }

    /** Starts to compare the local state with that of peers. */
    public void start() {
        network.addListener(this);
        loop.schedule(this::checkTargets, LIST_CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Answers a peer's call.
     *
     * @param exchange the call
     * @return whether the call asked for a snapshot
     */
    public boolean handle(HttpExchange exchange) {
        if (exchange.path().equals(PLAN_PATH)) {
            PlanFeed.CurrentPlan current = planFeed.current();
            if (current == null) {
                exchange.respond(UNAVAILABLE, Map.of(), new byte[0]);
            } else {
                exchange.respondJson(OK, current.value());
            }
            return true;
        }
        if (exchange.path().equals(TARGETS_PATH)) {
            TargetFeed.Snapshot snapshot = targetFeed.snapshot();
            exchange.respond(
                    snapshot.readAt() == 0 ? UNAVAILABLE : OK,
                    Map.of("content-type", "application/json"),
                    SnapshotJson.write(snapshot, network.streams().recorded().known()));
            return true;
        }
        return false;
    }

    @Override
    public void onReport(Peer peer, boolean joined) {
        compareTargets(peer);
        if (peer.planVersion() > planFeed.version() && !isFetchingPlan) {
            isFetchingPlan = true;
            fetch(peer, PLAN_PATH)
                    .whenComplete(
                            (answer, error) -> {
                                isFetchingPlan = false;
                                if (answer != null && answer.status() == OK) {
                                    control.execute(
                                            () ->
                                                    planFeed.applyIfNewer(
                                                            answer.text(), "peer " + peer.name()));
                                }
                            });
        }
    }

    /** Fetches a zone peer's newer targets at once and confirms equal ones as current. */
    private void compareTargets(Peer peer) {
        TargetFeed.Snapshot current = targetFeed.snapshot();
        if (peer.targetsReadAt().isEmpty()) {
            return;
        }
        long readAt = peer.targetsReadAt().getAsLong();
        boolean isNewer = readAt - current.readAt() > 0;
        if (isNewer && peer.targetsRevision() == current.changedRevision()) {
            control.execute(() -> targetFeed.confirmUnchanged(current.changedRevision(), readAt));
        } else if (isNewer
                && peer.zone().equals(zone)
                && peer.targetsRevision() > current.changedRevision()
                && !isFetchingTargets) {
            fetchTargets(peer);
        }
    }

    private void checkTargets() {
        loop.schedule(this::checkTargets, LIST_CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        if (isFetchingTargets || targetFeed.ageNanos() < STALE_LIST_AGE.toNanos()) {
            return;
        }
        long now = System.nanoTime();
        Optional<Peer> peer =
                Stream.of(PeerRole.values())
                        .flatMap(role -> network.peers().livePeers(role, now))
                        .skip(fetchCount++ % Math.max(1, countLivePeers(now)))
                        .findFirst();
        peer.ifPresent(this::fetchTargets);
    }

    private long countLivePeers(long now) {
        return network.peers().all().stream()
                .filter(peer -> network.peers().isLive(peer, now) && !peer.isLeaving())
                .count();
    }

    private void fetchTargets(Peer peer) {
        isFetchingTargets = true;
        long requestedAt = System.nanoTime();
        fetch(peer, TARGETS_PATH)
                .whenComplete(
                        (answer, error) -> {
                            isFetchingTargets = false;
                            if (answer != null && answer.status() == OK) {
                                long receivedAt = System.nanoTime();
                                applyVersions(peer, answer.text(), requestedAt);
                                control.execute(
                                        () -> applyTargets(peer, answer.text(), receivedAt));
                            }
                        });
    }

    private void applyVersions(Peer peer, String text, long requestedAt) {
        try {
            SnapshotJson.readVersions(text, requestedAt)
                    .ifPresent(
                            known ->
                                    network.streams()
                                            .recorded()
                                            .onRecord(known, System.nanoTime()));
        } catch (JsonProcessingException e) {
            LogEvent.of("versions.unreadable").with("peer", peer.name()).warn();
        }
    }

    private void applyTargets(Peer peer, String text, long receivedAt) {
        try {
            TargetFeed.Snapshot peerList = SnapshotJson.read(text, receivedAt);
            targetFeed.applyIfNewer(peerList, "peer " + peer.name());
        } catch (JsonProcessingException e) {
            LogEvent.of("targets.unreadable")
                    .with("peer", peer.name())
                    .with("reason", e.getOriginalMessage())
                    .warn();
        }
    }

    private CompletableFuture<BufferedHttpResponse> fetch(Peer peer, String path) {
        return client.call(
                HttpCall.of(
                                peer.host(),
                                peer.port(),
                                "GET",
                                path,
                                Map.of(),
                                new byte[0],
                                CALL_TIMEOUT)
                        .repeatable());
    }
}
