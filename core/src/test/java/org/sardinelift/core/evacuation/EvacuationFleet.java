package org.sardinelift.core.evacuation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.peer.PeerTable;

/**
 * A fleet of instances in virtual time that learn of evacuations from the store and from each
 * other. Messages are delayed, reordered and lost; instances are killed, restarted, and cut off
 * from the store or from their peers. Counts the requests that reach targets of a zone after its
 * evacuation must have taken effect, from instances that were in contact.
 */
final class EvacuationFleet {
    static final Duration APPLY_TIME = Duration.ofSeconds(5);
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(100);
    private static final Duration OTHER_ZONE_HEARTBEAT_INTERVAL = Duration.ofMillis(250);
    private static final Duration FULL_REPORT_INTERVAL = Duration.ofSeconds(2);
    private static final Duration PEER_SILENCE_TIMEOUT = Duration.ofMillis(600);
    private static final Duration STORE_TIMEOUT = Duration.ofMillis(800);
    private static final Duration TARGETS_FROM_PEER_TIME = Duration.ofMillis(400);
    private static final Duration REQUEST_TRAVEL_TIME = Duration.ofMillis(300);
    private static final int MAX_NOTED_VIOLATIONS = 5;

    private final Random random;
    private final double messageLoss;
    private final Duration longestDelay;
    private final int zones;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparing(Event::number));
    private final List<Instance> instances = new ArrayList<>();
    private final Map<String, Long> evacuatedSince = new HashMap<>();
    private boolean isStoreMoving = true;
    private long revision = 100;
    private long now;
    private long eventCount;
    private long listCalls;
    private long reportsWithList;
    private long reports;
    private final List<String> violations = new ArrayList<>();

    private record Event(long at, long number, Runnable action) {}

    /** One instance; a restart clears what it knows. */
    final class Instance {
        private final String name;
        private final String zone;
        private PeerTable peers;
        private ZoneEvacuations evacuations;
        private boolean isUp;
        private boolean isCutFromStore;
        private boolean isCutFromPeers;
        private boolean hasTargets;
        private boolean isSettled;
        private long contactSince;
        private long incarnation;
        private long sequence;
        private long zoneReportAt;
        private long fleetReportAt;
        private long fullReportAt;
        private final List<EvacuationChange> changes = new ArrayList<>();

        private Instance(int number) {
            this.name = "g-%03d".formatted(number);
            this.zone = "z" + number % zones;
        }

        String zone() {
            return zone;
        }

        List<EvacuationChange> changes() {
            return changes;
        }

        boolean isEvacuated(String other) {
            return evacuations.isEvacuated(other);
        }

        private void start() {
            peers = PeerTable.create(name, PEER_SILENCE_TIMEOUT, Duration.ofSeconds(40));
            evacuations = ZoneEvacuations.create(zone, EvacuationBounds.within(APPLY_TIME));
            incarnation++;
            sequence = 0;
            isUp = true;
            hasTargets = false;
            changes.clear();
            zoneReportAt = now - random.nextInt(100) * 1_000_000L;
            fleetReportAt = now - random.nextInt(250) * 1_000_000L;
            fullReportAt = now - random.nextInt(2_000) * 1_000_000L;
            long life = incarnation;
            every(
                    random.nextInt(50) * 1_000_000L,
                    TICK,
                    () -> isUp && incarnation == life,
                    this::tick);
        }

        private void tick() {
            peers.removeSilent(now);
            if (evacuations.isListDue(peers, now)) {
                list();
            }
            if (now - fleetReportAt >= OTHER_ZONE_HEARTBEAT_INTERVAL.toNanos()) {
                boolean isFull = now - fullReportAt >= FULL_REPORT_INTERVAL.toNanos();
                fullReportAt = isFull ? now : fullReportAt;
                report(isFull, other -> true);
                fleetReportAt = now;
                zoneReportAt = now;
            } else if (now - zoneReportAt >= HEARTBEAT_INTERVAL.toNanos()) {
                report(false, other -> other.zone.equals(zone));
                zoneReportAt = now;
            }
        }

        private void list() {
            long life = incarnation;
            long askedAt = now;
            evacuations.onListStarted();
            listCalls++;
            if (isCutFromStore) {
                at(STORE_TIMEOUT, () -> whileIn(life, this::onListFailed));
                return;
            }
            at(
                    delay(20),
                    () -> {
                        revision += isStoreMoving ? 1 : 0;
                        EvacuationList list =
                                new EvacuationList(evacuatedSince.keySet(), revision, askedAt);
                        at(delay(30), () -> whileIn(life, () -> onListed(list)));
                    });
        }

        private void whileIn(long life, Runnable action) {
            if (isUp && incarnation == life) {
                action.run();
            }
        }

        private void onListFailed() {
            evacuations.onListFailed(now);
        }

        private void onListed(EvacuationList list) {
            List<EvacuationChange> found = evacuations.onStoreList(list, now);
            changes.addAll(found);
            hasTargets = true;
            if (!found.isEmpty()) {
                report(false, other -> other.zone.equals(zone));
            }
        }

        private void report(boolean isFull, Predicate<Instance> receivers) {
            sequence++;
            Optional<EvacuationList> list = evacuations.listToReport(isFull, peers, now);
            OptionalLong age =
                    list.map(each -> OptionalLong.of(now - each.listedAt()))
                            .orElse(OptionalLong.empty());
            Report report = new Report(this, incarnation, sequence, list, age);
            instances.stream()
                    .filter(other -> other != this && receivers.test(other))
                    .forEach(other -> send(report, other));
        }

        private void send(Report report, Instance other) {
            reports++;
            reportsWithList += report.list().isPresent() ? 1 : 0;
            boolean isLost =
                    isCutFromPeers || other.isCutFromPeers || random.nextDouble() < messageLoss;
            if (!isLost) {
                at(delay(longestDelay.toMillis()), () -> other.onReport(report));
            }
        }

        private void onReport(Report report) {
            if (!isUp || isCutFromPeers) {
                return;
            }
            PeerTable.ReportResult result = peers.onReport(report.toPeer(now));
            if (result == PeerTable.ReportResult.STALE) {
                return;
            }
            report.list()
                    .map(
                            list ->
                                    new EvacuationList(
                                            list.zones(),
                                            list.revision(),
                                            now - report.age().getAsLong()))
                    .ifPresent(
                            list ->
                                    changes.addAll(
                                            evacuations.onPeerList(
                                                    report.sender().name, list, now)));
            if (result == PeerTable.ReportResult.JOINED) {
                introduceTo(report.sender());
            }
            if (!hasTargets) {
                long life = incarnation;
                at(TARGETS_FROM_PEER_TIME, () -> whileIn(life, () -> hasTargets = true));
            }
        }

        private void introduceTo(Instance other) {
            sequence++;
            Optional<EvacuationList> list = evacuations.listToReport(true, peers, now);
            OptionalLong age =
                    list.map(each -> OptionalLong.of(now - each.listedAt()))
                            .orElse(OptionalLong.empty());
            send(new Report(this, incarnation, sequence, list, age), other);
        }

        /** Sends a request to each zone that the instance believes to be in service. */
        private void request() {
            if (!isUp || !hasTargets) {
                return;
            }
            IntStream.range(0, zones)
                    .mapToObj(i -> "z" + i)
                    .filter(each -> !evacuations.isEvacuated(each))
                    .forEach(each -> at(REQUEST_TRAVEL_TIME, () -> onRequestReceived(each)));
        }

        private void onRequestReceived(String target) {
            Long since = evacuatedSince.get(target);
            boolean isLate = since != null && now - since > APPLY_TIME.toNanos();
            if (isLate && isInContact() && violations.size() < MAX_NOTED_VIOLATIONS) {
                violations.add(
                        "%s sent to %s %d ms after its evacuation"
                                .formatted(name, target, (now - since) / 1_000_000));
            }
        }

        /**
         * Whether the instance has reached the store itself, or another one that did, for the whole
         * time within which an evacuation must take effect, or since its start.
         */
        private boolean isInContact() {
            return isSettled && now - contactSince >= APPLY_TIME.toNanos();
        }
    }

    private record Report(
            Instance sender,
            long incarnation,
            long sequence,
            Optional<EvacuationList> list,
            OptionalLong age) {
        Peer toPeer(long now) {
            return new Peer(
                    sender.name,
                    "host",
                    1,
                    sender.zone,
                    PeerRole.GATEWAY,
                    incarnation,
                    sequence,
                    0,
                    false,
                    Set.of(),
                    OptionalLong.empty(),
                    OptionalLong.empty(),
                    0,
                    now,
                    true);
        }
    }

    private EvacuationFleet(
            int size, int zones, double messageLoss, Duration longestDelay, long seed) {
        this.random = new Random(seed);
        this.zones = zones;
        this.messageLoss = messageLoss;
        this.longestDelay = longestDelay;
        IntStream.range(0, size).forEach(i -> instances.add(new Instance(i)));
        instances.forEach(Instance::start);
        updateContacts();
        every(0, Duration.ofMillis(100), () -> true, () -> instances.forEach(Instance::request));
    }

    /** A fleet without loss whose messages take at most 20 ms. */
    static EvacuationFleet calm(int size, long seed) {
        return new EvacuationFleet(size, 3, 0, Duration.ofMillis(20), seed);
    }

    /** A fleet that loses three of ten messages and delays and reorders the others. */
    static EvacuationFleet lossy(int size, long seed) {
        return new EvacuationFleet(size, 3, 0.3, Duration.ofMillis(600), seed);
    }

    private long delay(long longestMs) {
        return 1_000_000L + random.nextInt((int) longestMs) * 1_000_000L;
    }

    private void at(Duration delay, Runnable action) {
        at(delay.toNanos(), action);
    }

    private void at(long delay, Runnable action) {
        events.add(new Event(now + delay, eventCount++, action));
    }

    private void every(
            long delay,
            Duration interval,
            java.util.function.BooleanSupplier goesOn,
            Runnable action) {
        at(
                delay,
                () -> {
                    if (goesOn.getAsBoolean()) {
                        action.run();
                        every(interval.toNanos(), interval, goesOn, action);
                    }
                });
    }

    EvacuationFleet run(Duration time) {
        long end = now + time.toNanos();
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event next = events.poll();
            now = next.at();
            next.action().run();
        }
        now = end;
        return this;
    }

    /** The store acknowledges the object of a zone. */
    EvacuationFleet evacuate(String... names) {
        for (String name : names) {
            revision++;
            evacuatedSince.put(name, now);
        }
        return this;
    }

    /** The store acknowledges the deletion of a zone's object. */
    EvacuationFleet endEvacuation(String... names) {
        for (String name : names) {
            revision++;
            evacuatedSince.remove(name);
        }
        return this;
    }

    /** Sets whether other objects of the store change all the time. */
    EvacuationFleet setStoreMoving(boolean moving) {
        isStoreMoving = moving;
        return this;
    }

    EvacuationFleet cutFromStore(Predicate<Instance> which, boolean isCut) {
        instances.stream().filter(which).forEach(each -> each.isCutFromStore = isCut);
        updateContacts();
        return this;
    }

    EvacuationFleet cutFromPeers(Predicate<Instance> which, boolean isCut) {
        instances.stream().filter(which).forEach(each -> each.isCutFromPeers = isCut);
        updateContacts();
        return this;
    }

    EvacuationFleet kill(Predicate<Instance> which) {
        instances.stream().filter(which).forEach(each -> each.isUp = false);
        updateContacts();
        return this;
    }

    EvacuationFleet restart(Predicate<Instance> which) {
        instances.stream().filter(which).forEach(each -> each.isUp = false);
        instances.stream().filter(which).forEach(Instance::start);
        updateContacts();
        return this;
    }

    /**
     * Notes who has lost or regained contact. A restart by itself interrupts no contact: an
     * instance that can reach the store or such an instance must not send from its start on.
     */
    private void updateContacts() {
        boolean canShare =
                instances.stream()
                        .anyMatch(
                                each -> each.isUp && !each.isCutFromStore && !each.isCutFromPeers);
        instances.forEach(
                each -> {
                    boolean isInContact = !each.isCutFromStore || !each.isCutFromPeers && canShare;
                    if (isInContact && !each.isSettled) {
                        each.contactSince = now;
                    } else if (!isInContact) {
                        each.contactSince = Long.MAX_VALUE / 2;
                    }
                    each.isSettled = isInContact;
                });
    }

    /** The instances that a zone's reader comes from: the first by name of each zone. */
    boolean isFirstOfZone(Instance instance) {
        return instances.stream()
                .filter(other -> other.isUp && other.zone.equals(instance.zone))
                .findFirst()
                .filter(first -> first == instance)
                .isPresent();
    }

    boolean isRunningEverywhere(String name) {
        return instances.stream()
                .filter(each -> each.isUp)
                .allMatch(each -> each.isEvacuated(name));
    }

    boolean isRunningNowhere(String name) {
        return instances.stream()
                .filter(each -> each.isUp)
                .noneMatch(each -> each.isEvacuated(name));
    }

    /** Runs until a condition holds and returns how long that took. */
    Duration runUntil(Predicate<EvacuationFleet> condition) {
        long start = now;
        while (!condition.test(this) && now - start < Duration.ofSeconds(60).toNanos()) {
            run(Duration.ofMillis(10));
        }
        return Duration.ofNanos(now - start);
    }

    List<String> violations() {
        return violations;
    }

    List<Instance> instances() {
        return instances;
    }

    long listCalls() {
        return listCalls;
    }

    double shareOfReportsWithList() {
        return (double) reportsWithList / Math.max(1, reports);
    }

    Set<String> zonesInUse(Instance instance) {
        Set<String> inUse = new TreeSet<>();
        IntStream.range(0, zones)
                .mapToObj(i -> "z" + i)
                .filter(each -> !instance.isEvacuated(each))
                .forEach(inUse::add);
        return new HashSet<>(inUse);
    }
}
