package org.sardinelift.core.resume;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.plan.SoftwareVersion;
import org.sardinelift.core.resume.OriginInquiry.Outcome;
import org.sardinelift.core.resume.StreamOrigins.Origin;

/**
 * A fleet of instances in virtual time that begin streams at targets of several software versions,
 * lose them, and resume them elsewhere. Lists of targets lag, messages are delayed and lost,
 * instances are killed, frozen and cut off. Counts streams that go on at another version than the
 * one that began them, and the share that goes on.
 */
final class ResumeFleet {
    static final String SERVICE = "llm";
    private static final Duration LIST_INTERVAL = Duration.ofMillis(700);
    private static final Duration PEER_SILENCE_TIMEOUT = Duration.ofMillis(600);
    private static final int MAX_TRIES = 5;
    private static final Duration HEARTBEAT = Duration.ofMillis(250);
    private static final Duration KEEPER_RETURN_TIME = Duration.ofSeconds(1);
    private static final Duration START_TIME = Duration.ofSeconds(2);
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration CONTACT_TIME = Duration.ofSeconds(3);

    private final Random random;
    private final double messageLoss;
    private final int zones;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparing(Event::number));
    private final List<Instance> instances = new ArrayList<>();
    private final Map<String, SoftwareVersion> targets = new HashMap<>();
    private final ModelStoreObject<Map<SoftwareVersion, Long>> mainRecord =
            new ModelStoreObject<>(Map.of());
    private final ModelStoreObject<VersionRecord> stateRecord =
            new ModelStoreObject<>(VersionRecord.EMPTY);
    private int stateReads;
    private int stateWriteTries;
    private int newStreams;
    private int newStreamsBegun;
    private int broken;
    private int brokenGoOn;
    private double writeFaults;
    private double lateShare;
    private Duration maxClockOffset = Duration.ZERO;
    private long revision;
    private boolean isStoreDown;
    private long now;
    private long eventCount;
    private long streamCount;
    private long lastFaultAt = Long.MIN_VALUE / 2;
    private int mixed;
    private int resumedCalmly;
    private int lostCalmly;
    private int announcements;
    private int questions;

    private record Event(long at, long number, Runnable action) {}

    /** An object of the store. Its conditional writes may be lost or executed late. */
    private final class ModelStoreObject<T> {
        private T value;
        private long version;
        private int writes;

        ModelStoreObject(T initial) {
            value = initial;
        }

        /** Writes, and tells whether that is known to have been done. */
        void write(long expected, T written, Consumer<Boolean> listener) {
            if (random.nextDouble() >= writeFaults) {
                later(
                        millis(2 + random.nextInt(20)),
                        () -> listener.accept(put(expected, written)));
                return;
            }
            later(millis(1_000), () -> listener.accept(false));
            if (random.nextDouble() < lateShare) {
                later(millis(1_000 + random.nextInt(5_000)), () -> put(expected, written));
            }
        }

        private boolean put(long expected, T written) {
            if (version != expected) {
                return false;
            }
            version++;
            writes++;
            value = written;
            return true;
        }
    }

    /** One instance; a restart clears what it knows. */
    private final class Instance {
        private final String name;
        private final String zone;
        private final OriginKeepers.Candidate candidate;
        private final Set<Stream> streams = new LinkedHashSet<>();
        private StreamVersions versions;
        private Map<String, SoftwareVersion> list = Map.of();
        private long listedAt;
        private long listRevision;
        private final boolean isWorker;
        private Map<SoftwareVersion, Long> mainContent = Map.of();
        private long mainVersion;
        private boolean isMainBusy;
        private long startedAt;
        private long clockOffset;
        private boolean isUp;
        private boolean isCutOff;
        private boolean hadSoleVersion;
        private long downSince;
        private int life;

        Instance(int number, boolean isWorker) {
            this.isWorker = isWorker;
            this.name = (isWorker ? "w-" : "g-") + number;
            this.zone = "z-" + number % zones;
            this.candidate =
                    OriginKeepers.Candidate.of(
                            name, zone, isWorker ? PeerRole.WORKER : PeerRole.GATEWAY);
            start();
        }

        private void start() {
            versions = StreamVersions.create(name, new Random(random.nextLong()), true);
            startedAt = now;
            list = Map.of();
            listedAt = Long.MIN_VALUE;
            listRevision = 0;
            hadSoleVersion = false;
            isUp = true;
            isMainBusy = true;
            long maxOffset = maxClockOffset.toNanos();
            clockOffset = maxOffset == 0 ? 0 : random.nextLong(-maxOffset, maxOffset + 1);
            int startedLife = ++life;
            readRecord(startedLife);
            later(millis(random.nextInt(50)), () -> list(startedLife));
            later(millis(random.nextInt(50)), () -> tick(startedLife));
        }

        private boolean reachesStore() {
            return !isStoreDown && !isCutOff;
        }

        private long wallClock() {
            return now + clockOffset;
        }

        private void readRecord(int ofLife) {
            if (life != ofLife) {
                return;
            }
            if (!reachesStore()) {
                later(millis(500), () -> readRecord(ofLife));
                return;
            }
            mainContent = mainRecord.value;
            mainVersion = mainRecord.version;
            isMainBusy = false;
            applyMain();
        }

        private void applyMain() {
            Map<SoftwareVersion, Duration> ages = new HashMap<>();
            mainContent.forEach(
                    (version, lastAt) ->
                            ages.put(version, Duration.ofNanos(Math.max(0, wallClock() - lastAt))));
            versions.history().onRecord(ages, now);
        }

        private void writeMain(Map<SoftwareVersion, Duration> ages, int ofLife) {
            if (isMainBusy || !reachesStore()) {
                return;
            }
            isMainBusy = true;
            Map<SoftwareVersion, Long> merged = new HashMap<>(mainContent);
            ages.forEach(
                    (version, age) ->
                            merged.merge(version, wallClock() - age.toNanos(), Math::max));
            mainRecord.write(
                    mainVersion,
                    merged,
                    isDone -> {
                        if (life == ofLife) {
                            readRecord(ofLife);
                        }
                    });
        }

        private void list(int ofLife) {
            if (life != ofLife) {
                return;
            }
            if (reachesStore()) {
                apply(Map.copyOf(targets), now, revision);
                versions.history().dueRecord(now).ifPresent(ages -> writeMain(ages, ofLife));
            }
            later(LIST_INTERVAL.toNanos() + millis(random.nextInt(50)), () -> list(ofLife));
        }

        private void apply(Map<String, SoftwareVersion> listed, long at, long ofRevision) {
            list = listed;
            listedAt = at;
            listRevision = ofRevision;
            versions.onTargets(listed.values(), now);
            announceIfVersionsDiffer();
            checkState(life);
        }

        private void checkState(int ofLife) {
            if (life != ofLife) {
                return;
            }
            versions.recorded().onListAge(isListCurrent(), now);
            boolean isReader = instances.indexOf(this) < zones;
            versions.dueAction(isReader, now).ifPresent(action -> performState(action, ofLife));
        }

        private void performState(RecordedVersions.Action action, int ofLife) {
            long askedAt = now;
            if (!reachesStore()) {
                later(millis(100), () -> endStateAction(false, false, ofLife));
            } else if (action instanceof RecordedVersions.Action.Write write) {
                stateWriteTries++;
                stateRecord.write(
                        write.expectedVersion(),
                        write.record(),
                        isDone -> {
                            if (isDone && life == ofLife) {
                                applyState(write.record(), write.expectedVersion() + 1, askedAt);
                            }
                            endStateAction(true, isDone, ofLife);
                        });
            } else {
                stateReads++;
                VersionRecord read = stateRecord.value;
                long version = stateRecord.version;
                later(
                        millis(2 + random.nextInt(20)),
                        () -> {
                            if (life == ofLife) {
                                applyState(read, version, askedAt);
                            }
                            endStateAction(true, true, ofLife);
                        });
            }
        }

        private void applyState(VersionRecord record, long version, long askedAt) {
            versions.recorded().onRecord(new RecordedVersions.Known(record, version, askedAt), now);
        }

        private void endStateAction(boolean isAnswered, boolean isDone, int ofLife) {
            if (life == ofLife) {
                versions.recorded().onActionEnded(isAnswered, isDone, now);
                checkState(ofLife);
            }
        }

        private void tick(int ofLife) {
            if (life != ofLife) {
                return;
            }
            // An instance takes over a newer list of a peer that it hears.
            livePeers().stream()
                    .filter(peer -> peer.listRevision > listRevision)
                    .findAny()
                    .ifPresent(
                            peer -> {
                                peer.versions
                                        .recorded()
                                        .known()
                                        .ifPresent(
                                                known -> versions.recorded().onRecord(known, now));
                                apply(peer.list, peer.listedAt, peer.listRevision);
                            });
            checkState(ofLife);
            announceIfVersionsDiffer();
            later(TICK.toNanos(), () -> tick(ofLife));
        }

        private List<Instance> livePeers() {
            boolean hasHeardNone = startedAt > 0 && now - startedAt < HEARTBEAT.toNanos();
            return isCutOff || hasHeardNone
                    ? List.of()
                    : instances.stream()
                            .filter(peer -> peer != this && !peer.isCutOff)
                            .filter(
                                    peer ->
                                            peer.isUp
                                                    || now - peer.downSince
                                                            < PEER_SILENCE_TIMEOUT.toNanos())
                            .toList();
        }

        private boolean isListCurrent() {
            if (listedAt == Long.MIN_VALUE) {
                return false;
            }
            if (now - listedAt < TargetListAge.MAX_CURRENT.toNanos()) {
                return true;
            }
            List<Instance> live = livePeers();
            return 2 * live.size() >= instances.size() - 1
                    && live.stream().allMatch(peer -> peer.listRevision <= listRevision);
        }

        private void announceIfVersionsDiffer() {
            boolean hasSoleVersion =
                    versions.soleVersion(SERVICE, isListCurrent(), now).isPresent();
            if (hadSoleVersion && !hasSoleVersion) {
                versions.recentStreams(SERVICE, now).toList().forEach(this::announce);
            }
            hadSoleVersion = hasSoleVersion;
        }

        private List<Instance> keepers(
                BiFunction<Long, Collection<OriginKeepers.Candidate>, List<OriginKeepers.Candidate>>
                        selector,
                long stream) {
            Map<String, Instance> byName =
                    livePeers().stream().collect(Collectors.toMap(peer -> peer.name, p -> p));
            Collection<OriginKeepers.Candidate> candidates =
                    byName.values().stream().map(peer -> peer.candidate).toList();
            return selector.apply(stream, candidates).stream()
                    .map(each -> byName.get(each.name()))
                    .toList();
        }

        private void announce(Origin origin) {
            int ofLife = life;
            keepers(OriginKeepers::keepers, origin.stream())
                    .forEach(
                            keeper -> {
                                announce(origin, keeper, ofLife);
                                if (keeper.isWorker) {
                                    later(millis(10), () -> announce(origin, keeper, ofLife));
                                }
                            });
        }

        private void announce(Origin origin, Instance keeper, int ofLife) {
            if (life == ofLife) {
                announcements++;
                deliver(keeper, () -> keeper.versions.onAnnounced(origin, name, now));
            }
        }

        /** Sends a message; lost if it is, or if either end is away when it arrives. */
        private void deliver(Instance to, Runnable action) {
            int ofLife = to.life;
            if (random.nextDouble() >= messageLoss) {
                later(
                        millis(2) + random.nextInt(12) * millis(1),
                        () -> {
                            if (to.isUp && to.life == ofLife && !to.isCutOff && !isCutOff) {
                                action.run();
                            }
                        });
            }
        }

        Optional<SoftwareVersion> choose() {
            Set<SoftwareVersion> selected =
                    versions.recorded().selectForNewStreams(Set.copyOf(list.values()), now);
            List<SoftwareVersion> choice =
                    list.values().stream().filter(selected::contains).toList();
            return choice.isEmpty()
                    ? Optional.empty()
                    : Optional.of(choice.get(random.nextInt(choice.size())));
        }

        void begin(Stream stream) {
            Optional<SoftwareVersion> version = choose();
            newStreams++;
            if (version.isEmpty()) {
                return;
            }
            newStreamsBegun++;
            Origin origin = new Origin(stream.id, version.get(), 1);
            versions.onSent(origin, now);
            if (versions.soleVersion(SERVICE, isListCurrent(), now).isEmpty()) {
                announce(origin);
            }
            stream.version = version.get();
            streams.add(stream);
            int ofLife = life;
            boolean breaksOff = random.nextInt(10) == 0;
            long end = millis(breaksOff ? 20 + random.nextInt(300) : 300 + random.nextInt(600));
            later(millis(15), () -> stream.hasEvents = life == ofLife && isUp);
            later(
                    end,
                    () -> {
                        if (streams.remove(stream) && breaksOff) {
                            comeBack(stream);
                        }
                    });
        }

        void resume(Stream stream) {
            if (!stream.isNamed) {
                // Their streams can't be told apart; only joined versions are counted.
                stream.isBroken = false;
                versions.soleVersion(SERVICE, isListCurrent(), now)
                        .ifPresent(version -> goOn(stream, version));
                return;
            }
            versions.find(stream.id, SERVICE, isListCurrent(), now)
                    .ifPresentOrElse(found -> goOn(stream, found.version()), () -> inquire(stream));
        }

        private void inquire(Stream stream) {
            List<Instance> keepers = keepers(OriginKeepers::asked, stream.id);
            OriginInquiry inquiry =
                    OriginInquiry.of(keepers.stream().map(keeper -> keeper.name).toList());
            Consumer<Optional<Outcome>> onOutcome =
                    outcome -> outcome.ifPresent(known -> onOutcome(stream, known));
            keepers.forEach(keeper -> ask(stream, keeper, inquiry, onOutcome));
            // StreamExchange repeats a question as well.
            later(
                    millis(40),
                    () ->
                            keepers.stream()
                                    .filter(keeper -> inquiry.unanswered().contains(keeper.name))
                                    .forEach(keeper -> ask(stream, keeper, inquiry, onOutcome)));
            if (keepers.isEmpty()) {
                onOutcome(stream, new Outcome.Unknown(0));
            }
            later(millis(100), () -> onOutcome.accept(inquiry.onTimeout()));
        }

        private void ask(
                Stream stream,
                Instance keeper,
                OriginInquiry inquiry,
                Consumer<Optional<Outcome>> onOutcome) {
            questions++;
            deliver(
                    keeper,
                    () -> {
                        Optional<SoftwareVersion> known =
                                keeper.versions
                                        .find(stream.id, SERVICE, keeper.isListCurrent(), now)
                                        .map(StreamVersions.Found::version);
                        keeper.deliver(
                                this, () -> onOutcome.accept(inquiry.onAnswer(keeper.name, known)));
                    });
        }

        private void onOutcome(Stream stream, Outcome outcome) {
            if (outcome instanceof Outcome.Known known) {
                goOn(stream, known.version());
                return;
            }
            int silentKeepers = ((Outcome.Unknown) outcome).silentKeepers();
            boolean hasJustStarted = startedAt > 0 && now - startedAt < START_TIME.toNanos();
            if ((silentKeepers > 0 || hasJustStarted) && stream.tries++ < MAX_TRIES) {
                later(KEEPER_RETURN_TIME.toNanos(), () -> resumeSomewhere(stream));
            } else {
                count(stream, false);
            }
        }

        private void goOn(Stream stream, SoftwareVersion version) {
            if (list.isEmpty() && stream.tries++ < MAX_TRIES) {
                // An instance without targets refuses with Retry-After.
                later(KEEPER_RETURN_TIME.toNanos(), () -> resumeSomewhere(stream));
                return;
            }
            if (!list.containsValue(version)) {
                count(stream, false);
                return;
            }
            if (!version.equals(stream.version)) {
                mixed++;
            }
            count(stream, true);
        }

        private void count(Stream stream, boolean goesOn) {
            long targetsLeft = targets.values().stream().filter(stream.version::equals).count();
            if (stream.isBroken && targetsLeft > 0) {
                broken++;
                brokenGoOn += goesOn ? 1 : 0;
            }
            boolean isCalm = now - lastFaultAt >= CONTACT_TIME.toNanos();
            if (isCalm && targetsLeft >= 2) {
                resumedCalmly += goesOn ? 1 : 0;
                lostCalmly += goesOn ? 0 : 1;
            }
        }

        void kill() {
            kill(millis(300 + random.nextInt(1_200)));
        }

        void kill(long downTime) {
            isUp = false;
            downSince = now;
            life++;
            List<Stream> broken = List.copyOf(streams);
            streams.clear();
            broken.forEach(stream -> stream.isBroken = true);
            broken.forEach(ResumeFleet.this::comeBack);
            later(downTime, this::start);
        }

        void cutOff(Duration time) {
            isCutOff = true;
            later(time.toNanos(), () -> isCutOff = false);
        }
    }

    private static final class Stream {
        private final long id;
        private SoftwareVersion version = new SoftwareVersion(SERVICE, "");
        private boolean hasEvents;
        private boolean isBroken;
        private int tries;

        /** Whether the caller names the attempt that began it, and not the last event alone. */
        private final boolean isNamed;

        Stream(long id, boolean isNamed) {
            this.id = id;
            this.isNamed = isNamed;
        }
    }

    ResumeFleet(long seed, int instanceCount, double messageLoss) {
        this(seed, instanceCount, 0, messageLoss);
    }

    ResumeFleet(long seed, int gatewayCount, int workerCount, double messageLoss) {
        this.random = new Random(seed);
        this.messageLoss = messageLoss;
        this.zones = 3;
        setTargets("v1", 3);
        IntStream.range(0, gatewayCount).forEach(i -> instances.add(new Instance(i, false)));
        IntStream.range(0, workerCount).forEach(i -> instances.add(new Instance(i, true)));
    }

    private static long millis(long count) {
        return Duration.ofMillis(count).toNanos();
    }

    void later(long delay, Runnable action) {
        events.add(new Event(now + delay, eventCount++, action));
    }

    void at(Duration time, Runnable action) {
        events.add(new Event(time.toNanos(), eventCount++, action));
    }

    /** Sets how many targets of a version the store lists. */
    void setTargets(String version, int count) {
        SoftwareVersion software = new SoftwareVersion(SERVICE, version);
        revision++;
        targets.values().removeIf(software::equals);
        IntStream.range(0, count).forEach(i -> targets.put(version + "-" + i, software));
    }

    void setStoreDown(boolean down) {
        isStoreDown = down;
    }

    /** Starts streams at a rate until the end of the run. */
    void startTraffic(int perSecond) {
        List<Instance> gateways = gateways();
        Instance instance = gateways.get(random.nextInt(gateways.size()));
        if (instance.isUp) {
            instance.begin(new Stream(++streamCount * 0x9E3779B97F4A7C15L, random.nextInt(8) > 0));
        }
        later(
                (long) (-Math.log(1 - random.nextDouble()) * 1e9 / perSecond),
                () -> startTraffic(perSecond));
    }

    private void comeBack(Stream stream) {
        if (!stream.hasEvents) {
            return;
        }
        long delay = millis(random.nextInt(10) == 0 ? 2_000 : 5 + random.nextInt(40));
        later(delay, () -> resumeSomewhere(stream));
        if (random.nextInt(8) == 0) {
            later(delay, () -> resumeSomewhere(stream));
        }
    }

    /** Resumes at any gateway, as soon as one accepts connections. */
    private void resumeSomewhere(Stream stream) {
        List<Instance> up = gateways().stream().filter(instance -> instance.isUp).toList();
        if (up.isEmpty()) {
            later(millis(200 + random.nextInt(200)), () -> resumeSomewhere(stream));
        } else {
            up.get(random.nextInt(up.size())).resume(stream);
        }
    }

    private List<Instance> gateways() {
        return instances.stream().filter(instance -> !instance.isWorker).toList();
    }

    /** Returns the share of the streams of killed gateways that go on at their version. */
    double brokenShareThatGoesOn() {
        return (double) brokenGoOn / Math.max(1, broken);
    }

    /** Returns the share of new streams that begin at a gateway that accepts connections. */
    double newShareThatBegins() {
        return (double) newStreamsBegun / Math.max(1, newStreams);
    }

    /** Forgets the new streams counted so far. */
    void countNewStreamsFromNow() {
        newStreams = 0;
        newStreamsBegun = 0;
    }

    int broken() {
        return broken;
    }

    /** Returns how many writes of the record of states the store has executed. */
    int stateWrites() {
        return stateRecord.writes;
    }

    int stateWriteTries() {
        return stateWriteTries;
    }

    int stateReads() {
        return stateReads;
    }

    /** Has a share of the writes get no response; some are executed 1 to 6 s late. */
    void setWriteFaults(double share, double shareExecuted) {
        writeFaults = share;
        lateShare = shareExecuted;
    }

    /** Sets how far wall clocks differ, from the next start of each instance on. */
    void setMaxClockOffset(Duration offset) {
        maxClockOffset = offset;
    }

    /** Has all wall clocks jump. */
    void jumpClocks() {
        long maxOffset = maxClockOffset.toNanos();
        instances.forEach(
                instance -> instance.clockOffset = random.nextLong(-maxOffset, maxOffset + 1));
    }

    /** Kills all gateways at once, which are down for 0.1 to 5 s. */
    void killAllGateways(boolean withWorkers) {
        lastFaultAt = now;
        long downTime = millis(100 + random.nextInt(4_900));
        instances.stream()
                .filter(instance -> instance.isUp && (withWorkers || !instance.isWorker))
                .toList()
                .forEach(instance -> instance.kill(downTime + millis(random.nextInt(200))));
    }

    void kill(double share) {
        lastFaultAt = now;
        instances.stream()
                .filter(instance -> instance.isUp && random.nextDouble() < share)
                .toList()
                .forEach(Instance::kill);
    }

    void killOne() {
        instances.get(random.nextInt(instances.size())).kill();
    }

    void cutOff(double share, Duration time) {
        lastFaultAt = now + time.toNanos();
        instances.stream()
                .filter(instance -> random.nextDouble() < share)
                .forEach(instance -> instance.cutOff(time));
    }

    void runUntil(Duration end) {
        while (!events.isEmpty() && events.peek().at() <= end.toNanos()) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
    }

    int mixed() {
        return mixed;
    }

    /** Returns how many streams were taken up away from faults. */
    int takenUpCalmly() {
        return resumedCalmly + lostCalmly;
    }

    double shareThatGoesOn() {
        return (double) resumedCalmly / Math.max(1, takenUpCalmly());
    }

    /** Returns how many announcements and questions were sent. */
    int messages() {
        return announcements + questions;
    }

    int questions() {
        return questions;
    }

    Random random() {
        return random;
    }
}
