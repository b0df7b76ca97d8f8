package org.sardinelift.core.catalog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Simulates sixty instances in virtual time with lagging replicas of the store, watches without
 * answer, restarts, gaps and lost connections. Guards against an instance that accepts requests
 * with a configuration older than 3 s, or that goes back to an older one.
 */
class ConfigFleetTest {
    private static final int NODES = 60;
    private static final int CALL_MS = 2;
    private static final int MAX_REPLICA_LAG_MS = 400;
    private static final int MAX_CHANGE_DELAY_MS = 3_000;
    private static final int LAST_CHANGE_MS = 40_000;

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Long> writtenAt = new ArrayList<>();
    private final List<ConfigState> history = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private long now;
    private long sequence;
    private long compactedBefore;

    @Property(seed = "51", tries = 4)
    void everyChangeIsInEffectEverywhereWithinThreeSecondsAndNeverReverts(@ForAll long seed) {
        new ConfigFleetTest().simulate(seed);
    }

    private void simulate(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        write(0, false);
        for (int i = 0; i < NODES; i++) {
            nodes.add(new Node(i, random.split()));
            nodes.get(i).start();
        }
        for (int at = 5_000; at < LAST_CHANGE_MS; at += 200 + random.nextInt(1_500)) {
            int key = random.nextInt(5);
            boolean withdrawn = random.nextBoolean();
            at(at, () -> write(key, withdrawn));
        }
        for (int i = 0; i < 40; i++) {
            Node node = nodes.get(random.nextInt(NODES));
            int at = 5_000 + random.nextInt(LAST_CHANGE_MS);
            switch (random.nextInt(4)) {
                case 0 -> at(at, () -> node.watchesWithoutAnswer = 3);
                case 1 -> at(at, node::start);
                case 2 -> at(at, () -> compactedBefore = history.size());
                default -> {
                    at(at, () -> node.isDisconnected = true);
                    at(at + random.nextInt(8_000), () -> node.isDisconnected = false);
                }
            }
        }
        run(LAST_CHANGE_MS + 10_000);
        nodes.forEach(node -> assertEquals(newest(history.size()), node.published));
    }

    private void write(int key, boolean withdrawn) {
        ConfigRef ref = new ConfigRef(ConfigKind.KEY, "k" + key);
        KeyEntry entry = new KeyEntry(ref.name(), "t", "d" + history.size(), withdrawn);
        writtenAt.add(now);
        history.add(new ConfigState(ref, history.size() + 1, entry));
    }

    /** Returns the keys that a reader must know that has read everything up to a revision. */
    private Map<String, KeyEntry> newest(int revision) {
        Map<String, KeyEntry> keys = new HashMap<>();
        for (ConfigState state : history.subList(0, revision)) {
            keys.put(state.ref().name(), (KeyEntry) state.item());
        }
        return keys;
    }

    private int revisionAt(long time) {
        int revision = 0;
        while (revision < writtenAt.size() && writtenAt.get(revision) <= time) {
            revision++;
        }
        return revision;
    }

    private void at(long time, Runnable action) {
        events.add(new Event(Math.max(now, time), sequence++, action));
    }

    private void run(long until) {
        while (!events.isEmpty() && events.peek().time() <= until) {
            Event event = events.poll();
            now = event.time();
            event.action().run();
        }
    }

    private record Event(long time, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(time, other.time);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private final class Node {
        private final int index;
        private final SplittableRandom random;
        private ConfigSync sync = ConfigSync.create(ConfigTimings.defaults());
        private Map<String, KeyEntry> published = Map.of();
        private int incarnation;
        private int revisionAtStart;
        private long publishedRevision;
        private boolean isDisconnected;
        private int watchesWithoutAnswer;

        Node(int index, SplittableRandom random) {
            this.index = index;
            this.random = random;
        }

        void start() {
            sync = ConfigSync.create(ConfigTimings.defaults());
            incarnation++;
            revisionAtStart = history.size();
            publishedRevision = 0;
            at(now + random.nextInt(20), () -> tick(incarnation));
            at(now + random.nextInt(500), () -> gossip(incarnation));
        }

        private void tick(int callerIncarnation) {
            if (callerIncarnation != incarnation) {
                return;
            }
            sync.nextCall(now).ifPresent(this::startCall);
            publish();
            assertUpToDate();
            at(now + 20, () -> tick(callerIncarnation));
        }

        private void gossip(int callerIncarnation) {
            if (callerIncarnation != incarnation) {
                return;
            }
            long newest = sync.merger().newestRevision();
            at(
                    now + CALL_MS,
                    () ->
                            nodes.stream()
                                    .filter(other -> other != this)
                                    .forEach(other -> other.sync.onPeerRevision(newest, now)));
            at(now + 500, () -> gossip(callerIncarnation));
        }

        private void publish() {
            if (sync.isReady()) {
                published = sync.merger().catalog().keys();
                long revision = sync.merger().completeRevision();
                assertTrue(revision >= publishedRevision, "went back to an older revision");
                assertTrue(
                        revision >= revisionAtStart,
                        "older than the store's revision at its start");
                publishedRevision = revision;
            }
        }

        /** An instance that accepts requests must know all that was written three seconds ago. */
        private void assertUpToDate() {
            int due = revisionAt(now - MAX_CHANGE_DELAY_MS);
            if (sync.isReady() && !sync.isIsolated(now)) {
                assertTrue(
                        publishedRevision >= due,
                        () ->
                                "e"
                                        + index
                                        + " at "
                                        + now
                                        + " knows revision "
                                        + publishedRevision
                                        + " of "
                                        + due);
            }
        }

        private void startCall(ConfigCall call) {
            int callerIncarnation = incarnation;
            int lag = random.nextInt(MAX_REPLICA_LAG_MS);
            if (isDisconnected) {
                answer(
                        callerIncarnation,
                        now + CALL_MS,
                        () -> sync.onCallFailed(call.number(), now));
            } else if (call instanceof ConfigCall.Barrier) {
                long revision = history.size();
                answer(
                        callerIncarnation,
                        now + CALL_MS,
                        () -> sync.onBarrierWritten(call.number(), revision, now));
            } else if (call instanceof ConfigCall.ListAll) {
                list(callerIncarnation, call, revisionAt(now - lag));
            } else if (watchesWithoutAnswer > 0) {
                watchesWithoutAnswer--;
            } else {
                watch(callerIncarnation, (ConfigCall.Watch) call, lag, now + 1_000);
            }
        }

        private void list(int callerIncarnation, ConfigCall call, int revision) {
            Map<ConfigKind, Long> revisions = new EnumMap<>(ConfigKind.class);
            Map<ConfigKind, List<ConfigState>> listed = new EnumMap<>(ConfigKind.class);
            for (ConfigKind kind : ConfigKind.values()) {
                revisions.put(kind, (long) revision);
                listed.put(kind, List.of());
            }
            Map<ConfigRef, ConfigState> keys = new HashMap<>();
            history.subList(0, revision).forEach(state -> keys.put(state.ref(), state));
            listed.put(ConfigKind.KEY, List.copyOf(keys.values()));
            answer(
                    callerIncarnation,
                    now + CALL_MS,
                    () -> sync.onListed(call.number(), revisions, listed, now));
        }

        private void watch(int callerIncarnation, ConfigCall.Watch call, int lag, long until) {
            int revision = revisionAt(now - lag);
            if (call.afterRevision() < compactedBefore) {
                answer(callerIncarnation, now + CALL_MS, () -> sync.onGap(call.number(), now));
            } else if (revision > call.afterRevision() || now >= until) {
                int after = (int) Math.min(call.afterRevision(), revision);
                List<ConfigState> changes = List.copyOf(history.subList(after, revision));
                answer(
                        callerIncarnation,
                        now + CALL_MS,
                        () -> sync.onChanges(call.number(), revision, changes, now));
            } else {
                at(now + 10, () -> watch(callerIncarnation, call, lag, until));
            }
        }

        private void answer(int callerIncarnation, long time, Runnable action) {
            at(
                    time,
                    () -> {
                        if (callerIncarnation == incarnation) {
                            action.run();
                        }
                    });
        }
    }
}
