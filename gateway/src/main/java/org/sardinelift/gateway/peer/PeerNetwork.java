package org.sardinelift.gateway.peer;

import io.netty.channel.EventLoop;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.sardinelift.core.load.LoadBoard;
import org.sardinelift.core.load.TargetLoad;
import org.sardinelift.core.load.Use;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerBook;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.quota.FleetQuota;
import org.sardinelift.core.quota.QuotaBounds;
import org.sardinelift.gateway.Endpoint;
import org.sardinelift.gateway.NodeSettings;
import org.sardinelift.protocol.ReportChannel;
import org.sardinelift.protocol.generated.PeerAddress;
import org.sardinelift.protocol.generated.PeerReport;
import org.sardinelift.protocol.generated.TargetDeath;
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

    /** Time in which changes gather for all others; bytes between zones are dear. */
    private static final Duration GATHER_FAR = Duration.ofMillis(40);

    /** Time between reports without a change. */
    private static final Duration HEARTBEAT = Duration.ofMillis(100);

    /** The same for instances in other zones. */
    private static final Duration HEARTBEAT_FAR = Duration.ofMillis(180);

    /** Six heartbeats: one lost datagram in a row is common, five are not. */
    private static final Duration SILENCE = Duration.ofMillis(600);

    /** Longer than any cut that an instance is expected to live through. */
    private static final Duration FORGET = Duration.ofSeconds(40);

    private static final Duration FOREIGN_LOAD_LIFE = Duration.ofMillis(400);
    private static final Duration YOUNG = Duration.ofSeconds(2);

    /** A step between the clocks by which this process notices that it stood still. */
    private static final Duration PAUSE = Duration.ofMillis(400);

    /** Reports after which a team's count is named again, for those that missed one. */
    private static final int REPEATS = 8;

    /** Age of what was never read. */
    private static final long NEVER = -1;

    /** A confirmation of the configuration older than two watches is not relied on. */
    private static final Duration PLAN_READ = Duration.ofMillis(2_200);

    /** A list of the targets older than two intervals is not relied on. */
    private static final Duration TARGETS_READ = Duration.ofMillis(1_300);

    /** Each so many reports name all teams and all members. */
    private static final int FULL_REPORT = 30;

    private final NodeSettings settings;
    private final PeerRole role;
    private final EventLoop loop;
    private final Knowledge knowledge;
    private final long incarnation = System.currentTimeMillis();
    private final long startedAt = System.nanoTime();
    private final PeerBook book;
    private final LoadBoard board = LoadBoard.create(SILENCE.multipliedBy(2), FOREIGN_LOAD_LIFE);
    private final FleetQuota quota = FleetQuota.create(new QuotaBounds(SILENCE, YOUNG), startedAt);
    private final ReportChannel channel;
    private final Map<String, Long> reportedCounts = new HashMap<>();
    private final Map<String, Long> countChangedAt = new HashMap<>();
    private final Map<TargetDeath, Long> deaths = new LinkedHashMap<>();
    private final Set<String> liveNames = new HashSet<>();
    private final List<Listener> listeners = new ArrayList<>();
    private Supplier<Collection<Long>> jobs = List::of;
    private long sequence;
    private final Set<String> urgentZones = new HashSet<>();
    private long sentAt;
    private long sentFarAt;
    private boolean farPending;
    private boolean urgentForAll;
    private long wallMs = System.currentTimeMillis();
    private long steadyNanos = System.nanoTime();
    private boolean flushPending;
    private boolean leaving;
    private volatile boolean planReadByOther;
    private volatile boolean targetsReadByOther;

    /** What this instance knows from the store, for its reports; safe for any thread. */
    public interface Knowledge {
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
        long targetsChanged();
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
        default void onDeath(long request, String target) {}

        /** Loads may have changed, or time has passed. */
        default void onLoads() {}
    }

    private PeerNetwork(NodeSettings settings, PeerRole role, EventLoop loop, Knowledge knowledge)
            throws BindException {
        this.settings = settings;
        this.role = role;
        this.loop = loop;
        this.knowledge = knowledge;
        this.book = PeerBook.create(settings.instance(), SILENCE, FORGET);
        this.channel =
                ReportChannel.bind(
                        loop,
                        settings.internal().host(),
                        settings.internal().port(),
                        this::onReport);
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
            NodeSettings settings, PeerRole role, EventLoop loop, Knowledge knowledge)
            throws BindException {
        return new PeerNetwork(settings, role, loop, knowledge);
    }

    /** Starts to report; seeds are asked who else there is. */
    public void start() {
        loop.execute(
                () -> {
                    introduceToSeeds();
                    flush();
                    tick();
                });
    }

    /**
     * Adds a listener; on the event loop or before the start.
     *
     * @param listener the listener
     */
    public void listen(Listener listener) {
        listeners.add(listener);
    }

    /**
     * Sets who tells which jobs run here; before the start.
     *
     * @param running gives hashes of the jobs' names
     */
    public void reportJobs(Supplier<Collection<Long>> running) {
        jobs = running;
    }

    /**
     * The instances known.
     *
     * @return the book
     */
    public PeerBook book() {
        return book;
    }

    /**
     * The loads of targets.
     *
     * @return the board
     */
    public LoadBoard board() {
        return board;
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
    public void changed() {
        changed(settings.zone());
    }

    /**
     * The calls of this instance on a target have changed. Those near the target are told first,
     * since they are the ones that send calls to it; all are told at once where its slots are
     * scarce.
     *
     * @param target the target with its load after the change
     */
    public void changed(TargetLoad target) {
        if (target.isScarce()) {
            urgentForAll = true;
        }
        changed(target.zone());
    }

    private void changed(String zone) {
        urgentZones.add(zone);
        if (!flushPending) {
            flushPending = true;
            loop.schedule(this::flushUrgent, GATHER.toNanos(), TimeUnit.NANOSECONDS);
        }
        if (!farPending) {
            farPending = true;
            loop.schedule(this::flush, GATHER_FAR.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void flushUrgent() {
        flushPending = false;
        if (urgentForAll) {
            flush();
            return;
        }
        Set<String> zones = Set.copyOf(urgentZones);
        urgentZones.clear();
        sendTo(peer -> peer.zone().equals(settings.zone()) || zones.contains(peer.zone()));
        sentAt = System.nanoTime();
    }

    /** This instance is about to stop. */
    public void leave() {
        leaving = true;
        changed();
    }

    /**
     * Tells the others of the death of a target.
     *
     * @param request hash of the request that the target ran
     * @param target life of the target that ended
     */
    public void reportDeath(long request, String target) {
        deaths.put(new TargetDeath(request, target), sequence + REPEATS);
        changed();
    }

    /**
     * An instance is registered.
     *
     * @param name its name
     * @param peerRole what it does
     * @param address where it takes reports
     */
    public void onInstance(String name, PeerRole peerRole, Endpoint address) {
        long now = System.nanoTime();
        if (name.equals(settings.instance())) {
            return;
        }
        if (peerRole == PeerRole.GATEWAY) {
            quota.onMember(name, now);
        }
        if (book.onAddress(name, address.host(), address.port(), now)) {
            changed();
        }
    }

    private void introduceToSeeds() {
        PeerReport report = report();
        report.setIntroduce(true);
        byte[] bytes = channel.bytes(report);
        settings.seeds().stream()
                .filter(host -> !host.equals(settings.internal().host()))
                .forEach(
                        host ->
                                channel.send(
                                        bytes,
                                        new InetSocketAddress(host, settings.internal().port())));
    }

    private void tick() {
        long now = System.nanoTime();
        noticePause(now);
        noteReaders(now);
        quota.noticeSilence(now);
        board.expire(now);
        for (String gone : book.forgetSilent(now)) {
            quota.onGone(gone);
            Event.of("peer.forgotten").with("peer", gone).info();
        }
        noticeLost(now);
        if (now - sentFarAt >= HEARTBEAT_FAR.toNanos()) {
            flush();
        } else if (now - sentAt >= HEARTBEAT.toNanos()) {
            flushUrgent();
        }
        if (book.all().isEmpty()) {
            introduceToSeeds();
        }
        listeners.forEach(Listener::onLoads);
        loop.schedule(this::tick, HEARTBEAT.toNanos() / 2, TimeUnit.NANOSECONDS);
    }

    private void noteReaders(long now) {
        String zone = settings.zone();
        planReadByOther = book.isReadByOther(zone, Peer::planReadAt, PLAN_READ, now);
        targetsReadByOther = book.isReadByOther(zone, Peer::targetsReadAt, TARGETS_READ, now);
    }

    /**
     * Whether this instance reads the configuration from the store itself.
     *
     * @return false while another one of its zone does; safe for any thread
     */
    public boolean readsPlan() {
        return !planReadByOther;
    }

    /**
     * Whether this instance reads the targets from the store itself.
     *
     * @return false while another one of its zone does; safe for any thread
     */
    public boolean readsTargets() {
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
                book.all().stream()
                        .filter(peer -> liveNames.contains(peer.name()) && !book.isLive(peer, now))
                        .map(Peer::name)
                        .toList();
        lost.forEach(
                name -> {
                    liveNames.remove(name);
                    Event.of("peer.lost").with("peer", name).warn();
                });
    }

    private void flush() {
        farPending = false;
        urgentForAll = false;
        urgentZones.clear();
        sendTo(peer -> true);
        sentAt = System.nanoTime();
        sentFarAt = sentAt;
    }

    private void sendTo(Predicate<Peer> chosen) {
        List<Peer> receivers = book.all().stream().filter(chosen).toList();
        if (receivers.isEmpty()) {
            return;
        }
        byte[] bytes = channel.bytes(report());
        receivers.forEach(
                peer -> channel.send(bytes, new InetSocketAddress(peer.host(), peer.port())));
    }

    private PeerReport report() {
        sequence++;
        PeerReport report = new PeerReport();
        report.setInstance(settings.instance());
        report.setIncarnation(incarnation);
        report.setSequence(sequence);
        report.setAgeMs(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt));
        report.setZone(settings.zone());
        report.setRole(role.label());
        report.setHost(settings.internal().host());
        report.setPort(settings.internal().port());
        report.setPlanVersion(knowledge.planVersion());
        report.setPlanAgeMs(ageMs(knowledge.planReadAt()));
        report.setTargetsAgeMs(ageMs(knowledge.targetsReadAt()));
        report.setTargetsChanged(knowledge.targetsChanged());
        report.setLeaving(leaving);
        report.setUses(
                board.ownUses().entrySet().stream()
                        .map(
                                use ->
                                        new TargetUse(
                                                use.getKey(),
                                                use.getValue().online(),
                                                use.getValue().batch()))
                        .toList());
        report.setTeams(counts(sequence % FULL_REPORT == 0));
        report.setJobs(List.copyOf(jobs.get()));
        deaths.values().removeIf(until -> until < sequence);
        report.setDeaths(List.copyOf(deaths.keySet()));
        if (sequence % FULL_REPORT == 0) {
            report.setMembers(members());
        }
        return report;
    }

    private static long ageMs(long at) {
        return at == 0 ? NEVER : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - at);
    }

    private static OptionalLong readAt(long ageMs, long now) {
        return ageMs < 0
                ? OptionalLong.empty()
                : OptionalLong.of(now - TimeUnit.MILLISECONDS.toNanos(ageMs));
    }

    private List<TeamCount> counts(boolean all) {
        quota.admitted()
                .forEach(
                        (team, count) -> {
                            if (!count.equals(reportedCounts.put(team, count))) {
                                countChangedAt.put(team, sequence);
                            }
                        });
        return reportedCounts.entrySet().stream()
                .filter(entry -> all || sequence - countChangedAt.get(entry.getKey()) < REPEATS)
                .map(entry -> new TeamCount(entry.getKey(), entry.getValue()))
                .toList();
    }

    private List<PeerAddress> members() {
        return book.all().stream()
                .map(peer -> new PeerAddress(peer.name(), peer.host(), peer.port()))
                .toList();
    }

    private void onReport(PeerReport report) {
        long now = System.nanoTime();
        Peer peer = peer(report, now);
        PeerBook.News news = book.onReport(peer);
        if (news == PeerBook.News.STALE) {
            return;
        }
        boolean joined = news == PeerBook.News.JOINED;
        if (liveNames.add(peer.name()) || joined) {
            Event.of("peer.joined")
                    .with("peer", peer.name())
                    .with("incarnation", peer.incarnation())
                    .info();
        }
        if (report.isSetMembers()) {
            report.getMembers().forEach(member -> onMember(member, now));
        }
        board.onReport(peer.name(), uses(report), now);
        if (peer.role() == PeerRole.GATEWAY) {
            onCounts(peer, report, now);
        }
        if (joined || report.isIntroduce()) {
            introduceTo(peer);
        }
        if (report.isSetDeaths()) {
            report.getDeaths()
                    .forEach(
                            death ->
                                    listeners.forEach(
                                            it ->
                                                    it.onDeath(
                                                            death.getRequest(),
                                                            death.getTarget())));
        }
        if (peer.zone().equals(settings.zone())) {
            noteReaders(now);
        }
        listeners.forEach(it -> it.onReport(peer, joined));
        listeners.forEach(Listener::onLoads);
    }

    private void onMember(PeerAddress member, long now) {
        if (book.onAddress(member.getInstance(), member.getHost(), member.getPort(), now)) {
            changed();
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

    private void introduceTo(Peer peer) {
        PeerReport answer = report();
        answer.setMembers(members());
        answer.setTeams(counts(true));
        channel.send(channel.bytes(answer), new InetSocketAddress(peer.host(), peer.port()));
    }

    private static Map<String, Use> uses(PeerReport report) {
        return report.getUses().stream()
                .collect(
                        Collectors.toMap(
                                TargetUse::getTarget,
                                use -> new Use(use.getOnline(), use.getBatch()),
                                Use::plus));
    }

    private static Peer peer(PeerReport report, long now) {
        return new Peer(
                report.getInstance(),
                report.getHost(),
                report.getPort(),
                report.getZone(),
                PeerRole.labelled(report.getRole()).orElse(PeerRole.GATEWAY),
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
