package org.sardinelift.gateway.job;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.sardinelift.core.joblog.ItemProgress;
import org.sardinelift.core.joblog.ItemSchedule.ScheduledItem;
import org.sardinelift.core.joblog.JobItem;
import org.sardinelift.core.load.RateLimitedTargetSample;
import org.sardinelift.core.load.TargetLoad;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.plan.ServingPlan;
import org.sardinelift.core.plan.SoftwareVersion;
import org.sardinelift.core.plan.TargetGroup;
import org.sardinelift.gateway.HeaderNames;
import org.sardinelift.gateway.call.TargetTable;
import org.sardinelift.gateway.peer.PeerNetwork;
import org.sardinelift.http.RequestSyntax;
import org.sardinelift.runtime.log.LogEvent;

/**
 * Determines which targets may run a batch item: those of its service, and once output is kept of
 * it those with the software version that wrote the output. On the event loop.
 */
final class ItemTargets {
    /** Longer than any item waits for a slot. */
    private static final long NOT_OFFERED_DELAY_NANOS = Duration.ofMinutes(1).toNanos();

    private final TargetTable table;
    private final PeerNetwork network;
    private final String instance;

    ItemTargets(TargetTable table, PeerNetwork network, String instance) {
        this.table = table;
        this.network = network;
        this.instance = instance;
    }

    /** The targets that may run an item; one that has begun goes on at its software version. */
    TargetGroup group(ScheduledItem scheduled, ServingPlan plan) {
        return scheduled
                .item()
                .softwareVersion()
                .map(TargetGroup::ofVersion)
                .orElseGet(() -> serviceGroup(scheduled, plan));
    }

    /** The targets of an item's service, whatever their software version. */
    TargetGroup serviceGroup(ScheduledItem scheduled, ServingPlan plan) {
        String service =
                plan.route(scheduled.job().spec().host(), scheduled.item().item().path())
                        .flatMap(
                                route ->
                                        route.selectService(
                                                ItemRunner.hash(scheduled.item().item().id())))
                        .orElse("");
        return TargetGroup.ofService(service);
    }

    /** Discards output that no target can go on with, or only one of a service now left. */
    void startOverItemsOfGoneVersions(Stream<ScheduledItem> items, ServingPlan plan) {
        Map<SoftwareVersion, Boolean> replaced = new HashMap<>();
        items.filter(scheduled -> !scheduled.item().isRunning())
                .filter(scheduled -> !canGoOn(scheduled, plan, replaced))
                .toList()
                .forEach(
                        scheduled ->
                                startOver(scheduled, "no target that may go on has its version"));
    }

    private boolean canGoOn(
            ScheduledItem scheduled, ServingPlan plan, Map<SoftwareVersion, Boolean> replaced) {
        return scheduled.item().softwareVersion().stream()
                .allMatch(
                        version ->
                                !replaced.computeIfAbsent(version, table::isReplaced)
                                        && version.service()
                                                .equals(serviceGroup(scheduled, plan).service()));
    }

    /** Finds out why no target can be sent an item; empty if it can be sent. */
    static Optional<String> findRequestFault(JobItem item) {
        Map<String, String> headers = new HashMap<>(item.headers());
        headers.put("id", item.id());
        return RequestSyntax.findFault(item.path(), headers.entrySet());
    }

    /** Version of the weights that an item's target must have, empty if any will do. */
    static Optional<String> expectedWeights(JobItem item, HeaderNames headers) {
        return item.headers().entrySet().stream()
                .filter(header -> header.getKey().equalsIgnoreCase(headers.expectedWeights()))
                .map(Map.Entry::getValue)
                .findFirst();
    }

    /** Shows cold targets as not free unless it is this worker's turn to start an item there. */
    List<TargetLoad> offered(List<TargetLoad> loads, long now) {
        if (network.rateLimits().limits().isEmpty()) {
            return loads;
        }
        long workers = 1 + network.peers().livePeers(PeerRole.WORKER, now).count();
        return loads.stream()
                .map(
                        load ->
                                isOffered(load, workers, now)
                                        ? load
                                        : load.withRateLimit(NOT_OFFERED_DELAY_NANOS))
                .toList();
    }

    private boolean isOffered(TargetLoad load, long workers, long now) {
        boolean isCold = table.find(load.id()).filter(table::isCold).isPresent();
        return !isCold
                || RateLimitedTargetSample.includesColdItem(load.id(), instance, workers, now);
    }

    /** Discards the output of an item, so that any target of its service may run it. */
    void startOver(ScheduledItem scheduled, String reason) {
        ItemProgress item = scheduled.item();
        LogEvent.of("item.started_over")
                .with("job", scheduled.job().spec().id())
                .with("item", item.item().id())
                .with("version", item.softwareVersion().map(SoftwareVersion::version).orElse(""))
                .with("events", item.eventCount())
                .with("reason", reason)
                .info();
        item.discardOutput();
    }
}
