package org.sardinelift.gateway;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.evacuation.ZoneEvacuations;
import org.sardinelift.core.load.TargetCalls;
import org.sardinelift.core.load.WorkTime;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.quota.ColdTargets;
import org.sardinelift.gateway.call.TargetTable;
import org.sardinelift.gateway.feed.StoreAvailability;
import org.sardinelift.gateway.feed.TargetFeed;
import org.sardinelift.gateway.peer.EvacuationReports;
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
        root.put("loopDelayMs", network.loopDelay().delay(now).toMillis());
        root.put("coldTargets", network.rateLimits().cold().count());
        root.put("knownStreams", network.streams().knownStreams());
        root.put("droppedStreams", network.streams().droppedStreams());
        network.evacuations()
                .ifPresent(each -> addEvacuations(root.putObject("evacuations"), each, now));
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
                                    .put("incarnation", target.runningIncarnation())
                                    .put("zone", target.registration().zone())
                                    .put("version", target.registration().softwareVersion())
                                    .put("leaving", target.registration().isLeaving())
                                    .put("usable", target.health().isUsable(now))
                                    .put("rateLimit", rateLimit(targetTable, target))
                                    .put("workTime", workTime(target, now))
                                    .put("cold", coldReason(network, target))
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

    private static void addEvacuations(ObjectNode node, EvacuationReports reports, long now) {
        ZoneEvacuations state = reports.state();
        state.current()
                .ifPresent(
                        list ->
                                node.put("revision", list.revision())
                                        .put("ageMs", millis(now - list.listedAt()))
                                        .put("source", state.source()));
        ArrayNode zones = node.putArray("zones");
        state.evacuations()
                .forEach(
                        each ->
                                zones.addObject()
                                        .put("zone", each.zone())
                                        .put("forMs", millis(now - each.startedAt()))
                                        .put("revision", each.revision())
                                        .put("source", each.source()));
    }

    private static @Nullable Double rateLimit(TargetTable table, TargetTable.Target target) {
        OptionalDouble limit = table.rateLimit(target);
        return limit.isPresent() ? limit.getAsDouble() : null;
    }

    private static @Nullable Double workTime(TargetTable.Target target, long now) {
        WorkTime workTime = target.health().workTime();
        return workTime.isStated() ? workTime.estimate(now) : null;
    }

    private static @Nullable String coldReason(PeerNetwork network, TargetTable.Target target) {
        return network.rateLimits()
                .cold()
                .reason(target.registration().incarnation())
                .map(ColdTargets.Reason::label)
                .orElse(null);
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
