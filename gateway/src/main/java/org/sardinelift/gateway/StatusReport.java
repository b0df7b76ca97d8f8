package org.sardinelift.gateway;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.load.TargetCalls;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.gateway.call.TargetTable;
import org.sardinelift.gateway.feed.StoreAvailability;
import org.sardinelift.gateway.feed.TargetFeed;
import org.sardinelift.gateway.peer.PeerNetwork;

/**
 * What an instance currently knows of its peers and targets, as JSON for operators. Used on the
 * event loop.
 */
final class StatusReport {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private StatusReport() {}

    static String toJson(
            String instance,
            long planVersion,
            StoreAvailability storeAvailability,
            TargetFeed targetFeed,
            PeerNetwork network,
            TargetTable targetTable) {
        long now = System.nanoTime();
        ObjectNode root = MAPPER.createObjectNode();
        root.put("instance", instance);
        root.put("plan", planVersion);
        root.put("storeAnswers", storeAvailability.isAvailable());
        root.put("targetsRevision", targetFeed.snapshot().revision());
        root.put("knownStreams", network.streams().knownStreams());
        root.put("droppedStreams", network.streams().droppedStreams());
        ArrayNode peers = root.putArray("peers");
        network.peers().all().stream()
                .sorted(Comparator.comparing(Peer::name))
                .forEach(
                        peer ->
                                peers.addObject()
                                        .put("name", peer.name())
                                        .put("role", peer.role().label())
                                        .put("live", network.peers().isLive(peer, now))
                                        .put("plan", peer.planVersion())
                                        .put("silentMs", millis(now - peer.lastReportAt())));
        ArrayNode targets = root.putArray("targets");
        targetTable.all().stream()
                .sorted(Comparator.comparing(TargetTable.Target::id))
                .forEach(
                        target -> {
                            TargetCalls calls = network.targetLoads().knownCalls(target.id(), now);
                            targets.addObject()
                                    .put("id", target.id())
                                    .put("zone", target.registration().zone())
                                    .put("version", target.registration().softwareVersion())
                                    .put("leaving", target.registration().isLeaving())
                                    .put("usable", target.health().isUsable(now))
                                    .put("rateLimit", rateLimit(targetTable, target))
                                    .put("requests", target.requests())
                                    .put("tokens", network.targetMemory().knownTokens(target.id()))
                                    .put("slots", target.registration().slots())
                                    .put("online", calls.online())
                                    .put("batch", calls.batch())
                                    .put(
                                            "ownOnline",
                                            network.targetLoads().ownCalls(target.id()).online())
                                    .put(
                                            "ownBatch",
                                            network.targetLoads().ownCalls(target.id()).batch());
                        });
        return root.toString();
    }

    private static @Nullable Double rateLimit(TargetTable table, TargetTable.Target target) {
        OptionalDouble limit = table.rateLimit(target);
        return limit.isPresent() ? limit.getAsDouble() : null;
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
