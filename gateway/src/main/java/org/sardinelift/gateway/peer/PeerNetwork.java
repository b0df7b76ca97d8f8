package org.sardinelift.gateway.peer;

import io.netty.channel.EventLoop;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.load.LoadTracker;
import org.sardinelift.core.load.LoopDelay;
import org.sardinelift.core.memory.TargetMemory;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.peer.PeerTable;
import org.sardinelift.core.quota.FleetQuota;
import org.sardinelift.core.quota.QuotaBounds;
import org.sardinelift.core.resume.TargetListAge;
import org.sardinelift.gateway.Endpoint;
import org.sardinelift.gateway.NodeSettings;
import org.sardinelift.protocol.ReportChannel;
import org.sardinelift.protocol.generated.PeerAddress;
import org.sardinelift.protocol.generated.PeerReport;
import org.sardinelift.protocol.generated.StreamMessage;
import org.sardinelift.runtime.log.LogEvent;

/**
 * Exchange of UDP reports with the other instances, and the state built from them: live peers,
 * loads of targets, requests that teams have used. Everything but the construction runs on the
 * event loop.
 */
public final class PeerNetwork implements AutoCloseable {
    /**
     * Longest wait of a change for others to share its report. Other instances place calls by it,
     * so it is shorter than a network hop.
     */
    private static final Duration REPORT_DELAY = Duration.ofMillis(2);

    /** The same for freed slots, which are less urgent. */
    private static final Duration FREED_SLOT_REPORT_DELAY = Duration.ofMillis(12);

    /** Time between reports without a change. */
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(100);

    private static final Duration TICK_INTERVAL = HEARTBEAT_INTERVAL.dividedBy(2);

    /** A measured delay of the event loop counts for as long as a few ticks. */
    private static final Duration LOOP_DELAY_LIFETIME = Duration.ofMillis(200);

    /** The same to instances in other zones, which get changes through relays. */
    private static final Duration OTHER_ZONE_HEARTBEAT_INTERVAL = Duration.ofMillis(250);

    /** Time between reports that name all teams and all members. */
    private static final Duration FULL_REPORT_INTERVAL = Duration.ofSeconds(2);

    /**
     * Six heartbeat intervals of the own zone, two of other zones, whose relayed reports count as
     * well.
     */
    private static final Duration PEER_SILENCE_TIMEOUT = Duration.ofMillis(600);

    /** Longer than any network partition that an instance is expected to survive. */
    private static final Duration PEER_REMOVAL_TIMEOUT = Duration.ofSeconds(40);

    private static final Duration UNREPORTED_LOAD_LIFETIME = Duration.ofMillis(400);
    private static final Duration NEW_PEER_AGE = Duration.ofSeconds(2);

    /** Wall-clock time ahead of the monotonic clock that shows that the process was suspended. */
    private static final Duration MIN_PROCESS_PAUSE = Duration.ofMillis(400);

    /** Two watches; older confirmations of the configuration by a peer are not relied on. */
    private static final Duration MAX_PLAN_READ_AGE = Duration.ofMillis(2_200);

    /** Two list intervals; older reads of the targets by a peer are not relied on. */
    private static final Duration MAX_TARGETS_READ_AGE = Duration.ofMillis(1_300);

    private final NodeSettings settings;
    private final EventLoop loop;
    private final PeerTable peers;
    private final TargetUseReports uses;
    private final TeamQuotaReports quotas =
            new TeamQuotaReports(new QuotaBounds(PEER_SILENCE_TIMEOUT, NEW_PEER_AGE));
    private final RateLimitReports rateLimits;
    private final FairShareReports shares = new FairShareReports();
    private final CrashReports crashes;
    private final StreamExchange streams;
    private final Optional<EvacuationReports> evacuations;
    private final List<ReportSection> sections;
    private final StoreReadState storeReadState;
    private final ReportBuilder reportBuilder;
    private final ReportRelay relay;
    private final ReportChannel channel;
    private final LoopDelay loopDelay = LoopDelay.fadingOver(LOOP_DELAY_LIFETIME);
    private final Set<String> livePeerNames = new HashSet<>();
    private final List<Listener> listeners = new ArrayList<>();
    private long zoneReportSentAt;
    private long fleetReportSentAt;
    private long fullReportSentAt;
    private long lastWallClockMs = System.currentTimeMillis();
    private long lastMonotonicNanos = System.nanoTime();

    /** When this process last went on after it had stood still. */
    private long resumedAt = System.nanoTime();

    private @Nullable ScheduledFuture<?> scheduledZoneReport;
    private long zoneReportDueAt;
    private volatile boolean isPlanReadByOther;
    private volatile boolean isTargetsReadByOther;

    /** What this instance has read from the store, for its reports. Safe for use by any thread. */
    public interface StoreReadState {
        /**
         * Version of the configuration in force.
         *
         * @return the version, 0 before the first
         */
        long planVersion();

        /**
         * When the store last confirmed the configuration to this instance.
         *
         * @return the time, nanoseconds; 0 where it never did
         */
        long planReadAt();

        /**
         * When this instance last read the targets from the store.
         *
         * @return the time, nanoseconds; 0 where it never did
         */
        long targetsReadAt();

        /**
         * Store revision of the last change of the targets that this instance has.
         *
         * @return the revision
         */
        long targetsRevision();

        /**
         * When the store is known to have held the targets that this instance has, from a read of
         * its own or of a peer.
         *
         * @return the time, nanoseconds; 0 before the first
         */
        long targetsConfirmedAt();
    }

    /** Notified of reports received; on the event loop. */
    public interface Listener {
        /**
         * A report was received.
         *
         * @param peer its sender
         * @param hasJoined whether the peer was unknown, lost or has restarted
         */
        default void onReport(Peer peer, boolean hasJoined) {}

        /** Loads may have changed, or time has passed. */
        default void onLoadsUpdated() {}
    }

    private PeerNetwork(
            NodeSettings settings, PeerRole role, EventLoop loop, StoreReadState storeReadState)
            throws BindException {
        this.settings = settings;
        this.loop = loop;
        this.peers =
                PeerTable.create(settings.instance(), PEER_SILENCE_TIMEOUT, PEER_REMOVAL_TIMEOUT);
        this.uses =
                new TargetUseReports(
                        settings.instance(),
                        PEER_SILENCE_TIMEOUT.multipliedBy(2),
                        UNREPORTED_LOAD_LIFETIME);
        this.crashes = new CrashReports(settings.instance(), this::onLocalChange);
        this.storeReadState = storeReadState;
        this.streams =
                new StreamExchange(
                        settings.instance(),
                        settings.isFirstStart(),
                        loop,
                        this::sendStreams,
                        this::isTargetListCurrent);
        this.rateLimits =
                new RateLimitReports(new QuotaBounds(PEER_SILENCE_TIMEOUT, NEW_PEER_AGE), settings);
        rateLimits.cold().setEvidenceListener(this::onLocalChange);
        this.evacuations = EvacuationReports.of(settings, this::onLocalChange);
        evacuations.ifPresent(each -> each.addListener(rateLimits.cold()::onEvacuationEnded));
        this.sections =
                Stream.concat(
                                Stream.of(uses, quotas, rateLimits, streams, crashes, shares),
                                evacuations.stream())
                        .toList();
        this.reportBuilder = new ReportBuilder(settings, role, storeReadState, peers, sections);
        this.relay = new ReportRelay(settings, role, peers, loop, this::sendRelayed);
        this.channel =
                ReportChannel.bind(
                        loop,
                        settings.internalAddress().host(),
                        settings.internalAddress().port(),
                        this::onDatagram);
    }

    /**
     * Binds the port for reports.
     *
     * @param settings name, zone and addresses of this instance
     * @param role role of this instance
     * @param loop the event loop of traffic
     * @param storeReadState what this instance has read from the store
     * @return the network, not started
     * @throws BindException if the port is in use
     */
    public static PeerNetwork bind(
            NodeSettings settings, PeerRole role, EventLoop loop, StoreReadState storeReadState)
            throws BindException {
        return new PeerNetwork(settings, role, loop, storeReadState);
    }

    /** Starts to report, and asks the seed hosts for the other instances. */
    public void start() {
        loop.execute(
                () -> {
                    introduceToSeeds();
                    reportToFleet();
                    tick();
                });
    }

    /**
     * Adds a listener; on the event loop or before the start.
     *
     * @param listener the listener
     */
    public void addListener(Listener listener) {
        listeners.add(listener);
    }

    /**
     * Sets the supplier of the jobs that this instance reports to run; before the start.
     *
     * @param running supplies hashes of the jobs' names
     */
    public void setAssignedJobsSupplier(Supplier<Collection<Long>> running) {
        reportBuilder.setAssignedJobsSupplier(running);
    }

    /**
     * The other instances known.
     *
     * @return the table
     */
    public PeerTable peers() {
        return peers;
    }

    /**
     * The loads of targets.
     *
     * @return the tracker
     */
    public LoadTracker targetLoads() {
        return uses.loads();
    }

    /**
     * The tokens that requests hold on targets.
     *
     * @return the account
     */
    public TargetMemory targetMemory() {
        return uses.memory();
    }

    /**
     * Sets whether the tokens on targets are limited; on the event loop.
     *
     * @param isLimited whether the configuration states the memory of any target
     */
    public void setMemoryLimited(boolean isLimited) {
        uses.setCountsTokens(isLimited, System.nanoTime());
    }

    /**
     * The rate limits of teams.
     *
     * @return the quota
     */
    public FleetQuota quota() {
        return quotas.quota();
    }

    /**
     * The limits that targets state on the rate of their requests.
     *
     * @return the limits, kept equal with the other instances
     */
    public RateLimitReports rateLimits() {
        return rateLimits;
    }

    /**
     * The demands of teams while targets are short.
     *
     * @return the demands of all gateways
     */
    public FairShareReports shares() {
        return shares;
    }

    /**
     * What is known of requests that crash targets.
     *
     * @return the evidence of all instances
     */
    public CrashReports crashes() {
        return crashes;
    }

    /**
     * What is known of the streams that callers may resume.
     *
     * @return the exchange with the other instances
     */
    public StreamExchange streams() {
        return streams;
    }

    /**
     * How far the event loop is behind its work.
     *
     * @return the delay, measured by the ticks of this network
     */
    public LoopDelay loopDelay() {
        return loopDelay;
    }

    /**
     * What is known of evacuated zones.
     *
     * @return the evacuations, empty where the settings don't enable them
     */
    public Optional<EvacuationReports> evacuations() {
        return evacuations;
    }

    private boolean isTargetListCurrent(long now) {
        // Until the pause is noticed the list looks as new as before it.
        detectProcessPause(now);
        long confirmedAt = storeReadState.targetsConfirmedAt();
        return confirmedAt != 0
                && confirmedAt - resumedAt >= 0
                && TargetListAge.isCurrent(
                        now - confirmedAt, storeReadState.targetsRevision(), peers, now);
    }

    private void sendStreams(String peerName, StreamMessage message) {
        peers.find(peerName)
                .ifPresent(
                        peer -> {
                            PeerReport datagram = new PeerReport();
                            datagram.setStreams(message);
                            send(datagram, List.of(peer));
                        });
    }

    /** State that other instances need soon has changed. */
    public void onLocalChange() {
        reportToZoneWithin(REPORT_DELAY);
    }

    /**
     * A slot of a target was freed. An instance that doesn't know of it yet only sends its call to
     * another target, which costs less than a call sent to a slot that is already in use.
     */
    public void onSlotFreed() {
        reportToZoneWithin(FREED_SLOT_REPORT_DELAY);
    }

    private void reportToZoneWithin(Duration delay) {
        long due = System.nanoTime() + delay.toNanos();
        if (scheduledZoneReport == null || due - zoneReportDueAt < 0) {
            if (scheduledZoneReport != null) {
                scheduledZoneReport.cancel(false);
            }
            zoneReportDueAt = due;
            scheduledZoneReport =
                    loop.schedule(this::reportToZone, delay.toNanos(), TimeUnit.NANOSECONDS);
        }
        relay.onLocalChange();
    }

    private void reportToZone() {
        if (scheduledZoneReport != null) {
            scheduledZoneReport.cancel(false);
            scheduledZoneReport = null;
        }
        sendTo(reportBuilder.buildIncremental(), peer -> peer.zone().equals(settings.zone()));
        zoneReportSentAt = System.nanoTime();
    }

    /** Reports that this instance is about to stop. */
    public void announceLeaving() {
        reportBuilder.setLeaving(true);
        onLocalChange();
    }

    /** Withdraws the report that this instance is about to stop. */
    public void announceStaying() {
        reportBuilder.setLeaving(false);
        onLocalChange();
    }

    /**
     * An instance was found in the store.
     *
     * @param name its name
     * @param peerRole its role
     * @param address where it receives reports
     */
    public void onInstanceRegistered(String name, PeerRole peerRole, Endpoint address) {
        long now = System.nanoTime();
        if (name.equals(settings.instance())) {
            return;
        }
        sections.forEach(section -> section.onPeerAdded(name, peerRole, now));
        if (peers.onAddress(name, address.host(), address.port(), now)) {
            introduceTo(address.host(), address.port());
        }
    }

    /** All instances found in the store were registered here. */
    public void onInstancesListed() {
        rateLimits.onInstancesListed();
    }

    private void introduceToSeeds() {
        PeerReport report = reportBuilder.buildIncremental();
        report.setIntroduce(true);
        byte[] bytes = channel.serialize(report);
        settings.seedHosts().stream()
                .filter(host -> !host.equals(settings.internalAddress().host()))
                .forEach(
                        host ->
                                channel.send(
                                        bytes,
                                        new InetSocketAddress(
                                                host, settings.internalAddress().port())));
    }

    private void tick() {
        // Scheduled first, so that a failure below doesn't stop the heartbeats.
        loop.schedule(this::tick, TICK_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
        long now = System.nanoTime();
        loopDelay.onTaskRun(now + TICK_INTERVAL.toNanos(), now);
        detectProcessPause(now);
        updateStoreReaders(now);
        for (String gone : peers.removeSilent(now)) {
            sections.forEach(section -> section.onPeerRemoved(gone));
            LogEvent.of("peer.forgotten").with("peer", gone).info();
        }
        detectLostPeers(now);
        sections.forEach(section -> section.tick(peers, now));
        if (now - fleetReportSentAt >= OTHER_ZONE_HEARTBEAT_INTERVAL.toNanos()) {
            reportToFleet();
        } else if (now - zoneReportSentAt >= HEARTBEAT_INTERVAL.toNanos()) {
            reportToZone();
        }
        if (peers.all().isEmpty()) {
            introduceToSeeds();
        }
        listeners.forEach(Listener::onLoadsUpdated);
    }

    private void updateStoreReaders(long now) {
        String zone = settings.zone();
        isPlanReadByOther = peers.isReadByOther(zone, Peer::planReadAt, MAX_PLAN_READ_AGE, now);
        isTargetsReadByOther =
                peers.isReadByOther(zone, Peer::targetsReadAt, MAX_TARGETS_READ_AGE, now);
    }

    /**
     * Whether this instance reads the configuration from the store itself.
     *
     * @return false while another instance of its zone does; safe for use by any thread
     */
    public boolean isPlanReader() {
        return !isPlanReadByOther;
    }

    /**
     * Whether this instance reads the targets from the store itself.
     *
     * @return false while another instance of its zone does; safe for use by any thread
     */
    public boolean isTargetsReader() {
        return !isTargetsReadByOther;
    }

    /** While the process is suspended, the wall clock runs on and the monotonic clock doesn't. */
    private void detectProcessPause(long now) {
        long wallClockMs = System.currentTimeMillis();
        long monotonicMs = TimeUnit.NANOSECONDS.toMillis(now - lastMonotonicNanos);
        long pauseMs = wallClockMs - lastWallClockMs - monotonicMs;
        if (pauseMs > MIN_PROCESS_PAUSE.toMillis()) {
            sections.forEach(section -> section.onPause(now));
            resumedAt = now;
            LogEvent.of("process.paused").with("standstill_ms", pauseMs).warn();
        }
        lastWallClockMs = wallClockMs;
        lastMonotonicNanos = now;
    }

    private void detectLostPeers(long now) {
        List<String> lost =
                peers.all().stream()
                        .filter(
                                peer ->
                                        livePeerNames.contains(peer.name())
                                                && !peers.isLive(peer, now))
                        .map(Peer::name)
                        .toList();
        lost.forEach(
                name -> {
                    livePeerNames.remove(name);
                    LogEvent.of("peer.lost").with("peer", name).warn();
                });
    }

    private void reportToFleet() {
        long now = System.nanoTime();
        boolean isFullReportDue = now - fullReportSentAt >= FULL_REPORT_INTERVAL.toNanos();
        if (isFullReportDue) {
            fullReportSentAt = now;
        }
        shares.onFleetReport();
        sendTo(
                isFullReportDue ? reportBuilder.buildFull() : reportBuilder.buildIncremental(),
                peer -> true);
        zoneReportSentAt = now;
        fleetReportSentAt = now;
    }

    private void sendTo(PeerReport report, Predicate<Peer> receivers) {
        send(report, peers.all().stream().filter(receivers).toList());
    }

    private void sendRelayed(List<byte[]> reports, Collection<Peer> receivers) {
        PeerReport report = reportBuilder.buildIncremental();
        report.setRelayed(reports.stream().map(ByteBuffer::wrap).toList());
        send(report, receivers);
    }

    private void send(PeerReport report, Collection<Peer> receivers) {
        if (receivers.isEmpty()) {
            return;
        }
        byte[] bytes = channel.serialize(report);
        receivers.forEach(
                peer -> {
                    channel.send(bytes, new InetSocketAddress(peer.host(), peer.port()));
                    PeerMetrics.countSent(peer.zone().equals(settings.zone()));
                });
    }

    private static OptionalLong toReadTime(long ageMs, long now) {
        return ageMs < 0
                ? OptionalLong.empty()
                : OptionalLong.of(now - TimeUnit.MILLISECONDS.toNanos(ageMs));
    }

    /** A datagram was received: the sender's own report and any that it relays. */
    private void onDatagram(PeerReport report, byte[] bytes) {
        if (report.isSetStreams()) {
            streams.onMessage(report.getStreams());
            return;
        }
        List<ByteBuffer> relayed = report.isSetRelayed() ? report.getRelayed() : List.of();
        report.unsetRelayed();
        Optional<Peer> sender = onReport(report);
        boolean mayRelay = !report.isIntroduce();
        sender.filter(peer -> mayRelay)
                .ifPresent(
                        peer ->
                                relay.onReport(
                                        peer,
                                        relayed.isEmpty() ? bytes : channel.serialize(report)));
        boolean isFromOwnZone = report.getZone().equals(settings.zone());
        relayed.forEach(each -> onRelayedReport(each, isFromOwnZone));
        listeners.forEach(Listener::onLoadsUpdated);
    }

    private void onRelayedReport(ByteBuffer buffer, boolean isFromOwnZone) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        Optional<Peer> sender = ReportChannel.deserialize(bytes).flatMap(this::onReport);
        // The relay of the own zone has already sent the report to all instances of the zone.
        if (!isFromOwnZone) {
            sender.ifPresent(peer -> relay.onReport(peer, bytes));
        }
    }

    /** Applies a report and returns its sender; empty if a newer report of the sender is known. */
    private Optional<Peer> onReport(PeerReport report) {
        long now = System.nanoTime();
        Peer peer = toPeer(report, now);
        PeerTable.ReportResult result = peers.onReport(peer);
        if (result == PeerTable.ReportResult.STALE) {
            return Optional.empty();
        }
        boolean hasJoined = result == PeerTable.ReportResult.JOINED;
        if (livePeerNames.add(peer.name()) || hasJoined) {
            LogEvent.of("peer.joined")
                    .with("peer", peer.name())
                    .with("incarnation", peer.incarnation())
                    .info();
        }
        if (report.isSetMembers()) {
            report.getMembers().forEach(member -> onMember(member, now));
        }
        sections.forEach(section -> section.onReport(peer, report, now));
        if (hasJoined || report.isIntroduce()) {
            introduceTo(peer.host(), peer.port());
        }
        if (peer.zone().equals(settings.zone())) {
            updateStoreReaders(now);
        }
        listeners.forEach(listener -> listener.onReport(peer, hasJoined));
        return Optional.of(peer);
    }

    private void onMember(PeerAddress member, long now) {
        if (peers.onAddress(member.getInstance(), member.getHost(), member.getPort(), now)) {
            introduceTo(member.getHost(), member.getPort());
        }
    }

    private void introduceTo(String host, int port) {
        channel.send(
                channel.serialize(reportBuilder.buildFull()), new InetSocketAddress(host, port));
    }

    private static Peer toPeer(PeerReport report, long now) {
        return new Peer(
                report.getInstance(),
                report.getHost(),
                report.getPort(),
                report.getZone(),
                PeerRole.fromLabel(report.getRole()).orElse(PeerRole.GATEWAY),
                report.getIncarnation(),
                report.getSequence(),
                report.getPlanVersion(),
                report.isLeaving(),
                Set.copyOf(report.getJobs()),
                toReadTime(report.getPlanAgeMs(), now),
                toReadTime(report.getTargetsAgeMs(), now),
                report.getTargetsChanged(),
                now,
                true);
    }

    @Override
    public void close() {
        channel.close();
    }
}
