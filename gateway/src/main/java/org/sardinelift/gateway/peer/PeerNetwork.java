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
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.load.LoadTracker;
import org.sardinelift.core.load.TargetCalls;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.peer.PeerTable;
import org.sardinelift.core.quota.FleetQuota;
import org.sardinelift.core.quota.QuotaBounds;
import org.sardinelift.gateway.Endpoint;
import org.sardinelift.gateway.NodeSettings;
import org.sardinelift.protocol.ReportChannel;
import org.sardinelift.protocol.generated.PeerAddress;
import org.sardinelift.protocol.generated.PeerReport;
import org.sardinelift.protocol.generated.TargetUse;
import org.sardinelift.protocol.generated.TeamCount;
import org.sardinelift.runtime.log.Event;

/**
 * Reports to and from the other instances, and what they tell: who is live, how loaded targets are,
 * what teams have spent. Everything but the construction runs on the event loop.
 */
public final class PeerNetwork implements AutoCloseable {
    /** Time in which changes gather for those who place calls by them; less than a network hop. */
    private static final Duration GATHER = Duration.ofMillis(2);

    /** The same for slots that come free. */
    private static final Duration GATHER_FREED = Duration.ofMillis(12);

    /** Time between reports without a change. */
    private static final Duration HEARTBEAT = Duration.ofMillis(100);

    /** The same for instances in other zones, which relays tell of changes. */
    private static final Duration HEARTBEAT_FAR = Duration.ofMillis(250);

    /** Time between reports that name all teams and all members. */
    private static final Duration FULL_REPORT = Duration.ofSeconds(2);

    /** Six heartbeats of the zone, two of others: relays' messages count as well. */
    private static final Duration SILENCE = Duration.ofMillis(600);

    /** Longer than any cut that an instance is expected to live through. */
    private static final Duration FORGET = Duration.ofSeconds(40);

    private static final Duration FOREIGN_LOAD_LIFE = Duration.ofMillis(400);
    private static final Duration YOUNG = Duration.ofSeconds(2);

    /** A step between the clocks by which this process notices that it stood still. */
    private static final Duration PAUSE = Duration.ofMillis(400);

    /** A confirmation of the configuration older than two watches is not relied on. */
    private static final Duration PLAN_READ = Duration.ofMillis(2_200);

    /** A list of the targets older than two intervals is not relied on. */
    private static final Duration TARGETS_READ = Duration.ofMillis(1_300);

    private final NodeSettings settings;
    private final EventLoop loop;
    private final PeerTable peers;
    private final LoadTracker targetLoads =
            LoadTracker.create(SILENCE.multipliedBy(2), FOREIGN_LOAD_LIFE);
    private final FleetQuota quota =
            FleetQuota.create(new QuotaBounds(SILENCE, YOUNG), System.nanoTime());
    private final ReportBuilder writer;
    private final ReportRelay relay;
    private final ReportChannel channel;
    private final Set<String> liveNames = new HashSet<>();
    private final List<Listener> listeners = new ArrayList<>();
    private long sentAt;
    private long sentFarAt;
    private long sentFullAt;
    private long wallMs = System.currentTimeMillis();
    private long steadyNanos = System.nanoTime();
    private @Nullable ScheduledFuture<?> flush;
    private long flushDue;
    private volatile boolean planReadByOther;
    private volatile boolean targetsReadByOther;

    /** What this instance knows from the store, for its reports; safe for any thread. */
    public interface StoreReadState {
        /**
         * Version of the configuration in force.
         *
         * @return the version, 0 before the first
         */
        long planVersion();

        /**
         * When the store itself confirmed the configuration.
         *
         * @return the time, nanoseconds; 0 where it never did
         */
        long planReadAt();

        /**
         * When this instance itself read the targets.
         *
         * @return the time, nanoseconds; 0 where it never did
         */
        long targetsReadAt();

        /**
         * When the targets that it holds had changed last.
         *
         * @return a revision of the store
         */
        long targetsRevision();
    }

    /** Hears what reports tell; on the event loop. */
    public interface Listener {
        /**
         * A report has come.
         *
         * @param peer who sent it
         * @param joined whether the peer was unknown, lost or has started anew
         */
        default void onReport(Peer peer, boolean joined) {}

        /**
         * A peer saw a target die.
         *
         * @param request hash of the request that the target ran
         * @param target life of the target that ended
         */
        default void onTargetDeath(long request, String target) {}

        /** Loads may have changed, or time has passed. */
        default void onLoadsUpdated() {}
    }

    private PeerNetwork(
            NodeSettings settings, PeerRole role, EventLoop loop, StoreReadState knowledge)
            throws BindException {
        this.settings = settings;
        this.loop = loop;
        this.peers = PeerTable.create(settings.instance(), SILENCE, FORGET);
        this.writer = new ReportBuilder(settings, role, knowledge, peers, targetLoads, quota);
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
     * @param settings who and where this instance is
     * @param role what it does
     * @param loop the event loop of traffic
     * @param knowledge what this instance knows from the store
     * @return the network, not started
     * @throws BindException where the port is taken
     */
    public static PeerNetwork bind(
            NodeSettings settings, PeerRole role, EventLoop loop, StoreReadState knowledge)
            throws BindException {
        return new PeerNetwork(settings, role, loop, knowledge);
    }

    /** Starts to report; seeds are asked who else there is. */
    public void start() {
        loop.execute(
                () -> {
                    introduceToSeeds();
                    sendToAll();
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
     * Sets who tells which jobs run here; before the start.
     *
     * @param running gives hashes of the jobs' names
     */
    public void setAssignedJobsSupplier(Supplier<Collection<Long>> running) {
        writer.setAssignedJobsSupplier(running);
    }

    /**
     * The instances known.
     *
     * @return the book
     */
    public PeerTable peers() {
        return peers;
    }

    /**
     * The loads of targets.
     *
     * @return the board
     */
    public LoadTracker targetLoads() {
        return targetLoads;
    }

    /**
     * The teams' allowances.
     *
     * @return the quota
     */
    public FleetQuota quota() {
        return quota;
    }

    /** Something that the others are to know soon has changed. */
    public void onLocalChange() {
        flushWithin(GATHER);
    }

    /**
     * A slot of a target has come free. Another instance that doesn't know of it yet sends its call
     * elsewhere, which costs less than one that doesn't know of a slot taken.
     */
    public void onSlotFreed() {
        flushWithin(GATHER_FREED);
    }

    private void flushWithin(Duration bound) {
        long due = System.nanoTime() + bound.toNanos();
        if (flush == null || due - flushDue < 0) {
            if (flush != null) {
                flush.cancel(false);
            }
            flushDue = due;
            flush = loop.schedule(this::flush, bound.toNanos(), TimeUnit.NANOSECONDS);
        }
        relay.onLocalChange();
    }

    private void flush() {
        if (flush != null) {
            flush.cancel(false);
            flush = null;
        }
        sendTo(writer.buildIncremental(), peer -> peer.zone().equals(settings.zone()));
        sentAt = System.nanoTime();
    }

    /** This instance is about to stop. */
    public void announceLeaving() {
        writer.setLeaving(true);
        onLocalChange();
    }

    /** This instance stays after all. */
    public void announceStaying() {
        writer.setLeaving(false);
        onLocalChange();
    }

    /**
     * Tells the others of the death of a target.
     *
     * @param request hash of the request that the target ran
     * @param target life of the target that ended
     */
    public void reportTargetDeath(long request, String target) {
        writer.onTargetDeath(request, target);
        onLocalChange();
    }

    /**
     * An instance is registered.
     *
     * @param name its name
     * @param peerRole what it does
     * @param address where it takes reports
     */
    public void onInstanceRegistered(String name, PeerRole peerRole, Endpoint address) {
        long now = System.nanoTime();
        if (name.equals(settings.instance())) {
            return;
        }
        if (peerRole == PeerRole.GATEWAY) {
            quota.onPeerAdded(name, now);
        }
        if (peers.onAddress(name, address.host(), address.port(), now)) {
            introduceTo(address.host(), address.port());
        }
    }

    private void introduceToSeeds() {
        PeerReport report = writer.buildIncremental();
        report.setIntroduce(true);
        byte[] bytes = channel.bytes(report);
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
        // First, so that a failure below doesn't end the heartbeats.
        loop.schedule(this::tick, HEARTBEAT.toNanos() / 2, TimeUnit.NANOSECONDS);
        long now = System.nanoTime();
        noticePause(now);
        noteReaders(now);
        quota.detectSilentPeers(now);
        targetLoads.expire(now);
        for (String gone : peers.removeSilent(now)) {
            quota.onPeerRemoved(gone);
            Event.of("peer.forgotten").with("peer", gone).info();
        }
        noticeLost(now);
        if (now - sentFarAt >= HEARTBEAT_FAR.toNanos()) {
            sendToAll();
        } else if (now - sentAt >= HEARTBEAT.toNanos()) {
            flush();
        }
        if (peers.all().isEmpty()) {
            introduceToSeeds();
        }
        listeners.forEach(Listener::onLoadsUpdated);
    }

    private void noteReaders(long now) {
        String zone = settings.zone();
        planReadByOther = peers.isReadByOther(zone, Peer::planReadAt, PLAN_READ, now);
        targetsReadByOther = peers.isReadByOther(zone, Peer::targetsReadAt, TARGETS_READ, now);
    }

    /**
     * Whether this instance reads the configuration from the store itself.
     *
     * @return false while another one of its zone does; safe for any thread
     */
    public boolean isPlanReader() {
        return !planReadByOther;
    }

    /**
     * Whether this instance reads the targets from the store itself.
     *
     * @return false while another one of its zone does; safe for any thread
     */
    public boolean isTargetsReader() {
        return !targetsReadByOther;
    }

    /** The monotonic clock stands still while the process is suspended; the other one doesn't. */
    private void noticePause(long now) {
        long wallNow = System.currentTimeMillis();
        long steadyMs = TimeUnit.NANOSECONDS.toMillis(now - steadyNanos);
        long standstillMs = wallNow - wallMs - steadyMs;
        if (standstillMs > PAUSE.toMillis()) {
            quota.onPause(now);
            Event.of("process.paused").with("standstill_ms", standstillMs).warn();
        }
        wallMs = wallNow;
        steadyNanos = now;
    }

    private void noticeLost(long now) {
        List<String> lost =
                peers.all().stream()
                        .filter(peer -> liveNames.contains(peer.name()) && !peers.isLive(peer, now))
                        .map(Peer::name)
                        .toList();
        lost.forEach(
                name -> {
                    liveNames.remove(name);
                    Event.of("peer.lost").with("peer", name).warn();
                });
    }

    private void sendToAll() {
        long now = System.nanoTime();
        boolean full = now - sentFullAt >= FULL_REPORT.toNanos();
        if (full) {
            sentFullAt = now;
        }
        sendTo(full ? writer.buildFull() : writer.buildIncremental(), peer -> true);
        sentAt = now;
        sentFarAt = now;
    }

    private void sendTo(PeerReport report, Predicate<Peer> chosen) {
        send(report, peers.all().stream().filter(chosen).toList());
    }

    private void sendRelayed(List<byte[]> reports, Collection<Peer> receivers) {
        PeerReport report = writer.buildIncremental();
        report.setRelayed(reports.stream().map(ByteBuffer::wrap).toList());
        send(report, receivers);
    }

    private void send(PeerReport report, Collection<Peer> receivers) {
        if (receivers.isEmpty()) {
            return;
        }
        byte[] bytes = channel.bytes(report);
        receivers.forEach(
                peer -> {
                    channel.send(bytes, new InetSocketAddress(peer.host(), peer.port()));
                    PeerMetrics.countSent(peer.zone().equals(settings.zone()));
                });
    }

    private static OptionalLong readAt(long ageMs, long now) {
        return ageMs < 0
                ? OptionalLong.empty()
                : OptionalLong.of(now - TimeUnit.MILLISECONDS.toNanos(ageMs));
    }

    /** A report came from its sender, maybe with those of others. */
    private void onDatagram(PeerReport report, byte[] bytes) {
        List<ByteBuffer> relayed = report.isSetRelayed() ? report.getRelayed() : List.of();
        report.unsetRelayed();
        Optional<Peer> sender = onReport(report);
        boolean mayPassOn = !report.isIntroduce();
        sender.filter(peer -> mayPassOn)
                .ifPresent(
                        peer ->
                                relay.onReport(
                                        peer, relayed.isEmpty() ? bytes : channel.bytes(report)));
        boolean fromOwnZone = report.getZone().equals(settings.zone());
        relayed.forEach(each -> onRelayed(each, fromOwnZone));
        listeners.forEach(Listener::onLoadsUpdated);
    }

    private void onRelayed(ByteBuffer each, boolean fromOwnZone) {
        byte[] bytes = new byte[each.remaining()];
        each.get(bytes);
        Optional<Peer> news = ReportChannel.read(bytes).flatMap(this::onReport);
        // What the zone's own relay passes on needs no passing on.
        if (!fromOwnZone) {
            news.ifPresent(peer -> relay.onReport(peer, bytes));
        }
    }

    /** Takes a report; empty where a newer one of its sender is known. */
    private Optional<Peer> onReport(PeerReport report) {
        long now = System.nanoTime();
        Peer peer = peer(report, now);
        PeerTable.ReportResult news = peers.onReport(peer);
        if (news == PeerTable.ReportResult.STALE) {
            return Optional.empty();
        }
        boolean joined = news == PeerTable.ReportResult.JOINED;
        if (liveNames.add(peer.name()) || joined) {
            Event.of("peer.joined")
                    .with("peer", peer.name())
                    .with("incarnation", peer.incarnation())
                    .info();
        }
        if (report.isSetMembers()) {
            report.getMembers().forEach(member -> onMember(member, now));
        }
        targetLoads.onReport(peer.name(), uses(report), now);
        if (peer.role() == PeerRole.GATEWAY) {
            onCounts(peer, report, now);
        }
        if (joined || report.isIntroduce()) {
            introduceTo(peer.host(), peer.port());
        }
        if (report.isSetDeaths()) {
            report.getDeaths()
                    .forEach(
                            death ->
                                    listeners.forEach(
                                            it ->
                                                    it.onTargetDeath(
                                                            death.getRequest(),
                                                            death.getTarget())));
        }
        if (peer.zone().equals(settings.zone())) {
            noteReaders(now);
        }
        listeners.forEach(it -> it.onReport(peer, joined));
        return Optional.of(peer);
    }

    private void onMember(PeerAddress member, long now) {
        if (peers.onAddress(member.getInstance(), member.getHost(), member.getPort(), now)) {
            introduceTo(member.getHost(), member.getPort());
        }
    }

    private void onCounts(Peer peer, PeerReport report, long now) {
        Map<String, Long> counts =
                report.getTeams().stream()
                        .collect(
                                Collectors.toMap(
                                        TeamCount::getTeam,
                                        TeamCount::getAdmitted,
                                        (first, second) -> second));
        long ageNanos = TimeUnit.MILLISECONDS.toNanos(report.getAgeMs());
        quota.onReport(peer.name(), peer.incarnation(), ageNanos, counts, now);
    }

    private void introduceTo(String host, int port) {
        channel.send(channel.bytes(writer.buildFull()), new InetSocketAddress(host, port));
    }

    private static Map<String, TargetCalls> uses(PeerReport report) {
        return report.getUses().stream()
                .collect(
                        Collectors.toMap(
                                TargetUse::getTarget,
                                use -> new TargetCalls(use.getOnline(), use.getBatch()),
                                TargetCalls::plus));
    }

    private static Peer peer(PeerReport report, long now) {
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
                readAt(report.getPlanAgeMs(), now),
                readAt(report.getTargetsAgeMs(), now),
                report.getTargetsChanged(),
                now,
                true);
    }

    @Override
    public void close() {
        channel.close();
    }
}
