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
import org.sardinelift.http.HttpAnswer;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.runtime.ControlThread;
import org.sardinelift.runtime.log.Event;

/**
 * Configuration and targets passed between instances: a newer configuration at once, the targets
 * while this instance can't read them itself. Works on the event loop.
 */
public final class PeerSnapshots implements PeerNetwork.Listener {
    /** Path of the configuration. */
    private static final String PLAN_PATH = "/plan";

    /** Path of the targets. */
    private static final String TARGETS_PATH = "/targets";

    private static final Duration TIMEOUT = Duration.ofMillis(500);

    /** Age of the list of targets from which peers are asked: one list has failed or is late. */
    private static final Duration OLD = Duration.ofMillis(1_300);

    private static final Duration ASK_INTERVAL = Duration.ofMillis(400);
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final PeerNetwork network;
    private final HttpClient client;
    private final EventLoop loop;
    private final ControlThread control;
    private final PlanFeed plan;
    private final TargetFeed targets;
    private final String zone;
    private boolean fetchingPlan;
    private boolean fetchingTargets;
    private long asked;

    private PeerSnapshots(
            String zone,
            PeerNetwork network,
            HttpClient client,
            EventLoop loop,
            ControlThread control,
            PlanFeed plan,
            TargetFeed targets) {
        this.zone = zone;
        this.network = network;
        this.client = client;
        this.loop = loop;
        this.control = control;
        this.plan = plan;
        this.targets = targets;
    }

    /**
     * Makes the exchange of snapshots.
     *
     * @param zone availability zone of this instance
     * @param network the other instances
     * @param client sends the calls
     * @param loop the event loop of traffic
     * @param control the control thread
     * @param plan takes configurations
     * @param targets takes lists of targets
     * @return the exchange, not started
     */
    public static PeerSnapshots of(
            String zone,
            PeerNetwork network,
            HttpClient client,
            EventLoop loop,
            ControlThread control,
            PlanFeed plan,
            TargetFeed targets) {
        return new PeerSnapshots(zone, network, client, loop, control, plan, targets);
    }

    /** Starts to compare with peers. */
    public void start() {
        network.addListener(this);
        loop.schedule(this::lookAtTargets, ASK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Answers a peer's call.
     *
     * @param exchange the call
     * @return whether it was a call for a snapshot
     */
    public boolean handle(HttpExchange exchange) {
        if (exchange.path().equals(PLAN_PATH)) {
            PlanFeed.CurrentPlan held = plan.current();
            if (held == null) {
                exchange.respond(UNAVAILABLE, Map.of(), new byte[0]);
            } else {
                exchange.respondJson(OK, held.value());
            }
            return true;
        }
        if (exchange.path().equals(TARGETS_PATH)) {
            TargetFeed.Snapshot snapshot = targets.snapshot();
            exchange.respond(
                    snapshot.readAt() == 0 ? UNAVAILABLE : OK,
                    Map.of("content-type", "application/json"),
                    SnapshotJson.write(snapshot));
            return true;
        }
        return false;
    }

    @Override
    public void onReport(Peer peer, boolean joined) {
        noteTargets(peer);
        if (peer.planVersion() > plan.version() && !fetchingPlan) {
            fetchingPlan = true;
            get(peer, PLAN_PATH)
                    .whenComplete(
                            (answer, error) -> {
                                fetchingPlan = false;
                                if (answer != null && answer.status() == OK) {
                                    control.execute(
                                            () ->
                                                    plan.applyIfNewer(
                                                            answer.text(), "peer " + peer.name()));
                                }
                            });
        }
    }

    /** A near peer's newer targets are fetched at once; equal ones are known to be current. */
    private void noteTargets(Peer peer) {
        TargetFeed.Snapshot held = targets.snapshot();
        if (peer.targetsReadAt().isEmpty()) {
            return;
        }
        long readAt = peer.targetsReadAt().getAsLong();
        boolean isNewer = readAt - held.readAt() > 0;
        if (isNewer && peer.targetsRevision() == held.changedRevision()) {
            control.execute(() -> targets.confirmUnchanged(held.changedRevision(), readAt));
        } else if (isNewer
                && peer.zone().equals(zone)
                && peer.targetsRevision() > held.changedRevision()
                && !fetchingTargets) {
            fetchingTargets = true;
            askForTargets(peer);
        }
    }

    private void lookAtTargets() {
        loop.schedule(this::lookAtTargets, ASK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        if (targets.ageNanos() < OLD.toNanos()) {
            return;
        }
        long now = System.nanoTime();
        Optional<Peer> peer =
                Stream.of(PeerRole.values())
                        .flatMap(role -> network.peers().livePeers(role, now))
                        .skip(asked++ % Math.max(1, livePeers(now)))
                        .findFirst();
        peer.ifPresent(this::askForTargets);
    }

    private long livePeers(long now) {
        return network.peers().all().stream()
                .filter(peer -> network.peers().isLive(peer, now) && !peer.isLeaving())
                .count();
    }

    private void askForTargets(Peer peer) {
        get(peer, TARGETS_PATH)
                .whenComplete(
                        (answer, error) -> {
                            fetchingTargets = false;
                            if (answer != null && answer.status() == OK) {
                                long receivedAt = System.nanoTime();
                                control.execute(() -> takeTargets(peer, answer.text(), receivedAt));
                            }
                        });
    }

    private void takeTargets(Peer peer, String text, long receivedAt) {
        try {
            TargetFeed.Snapshot theirs = SnapshotJson.read(text, receivedAt);
            targets.applyIfNewer(theirs, "peer " + peer.name());
        } catch (JsonProcessingException e) {
            Event.of("targets.unreadable")
                    .with("peer", peer.name())
                    .with("reason", e.getOriginalMessage())
                    .warn();
        }
    }

    private CompletableFuture<HttpAnswer> get(Peer peer, String path) {
        return client.call(
                HttpCall.of(peer.host(), peer.port(), "GET", path, Map.of(), new byte[0], TIMEOUT));
    }
}
