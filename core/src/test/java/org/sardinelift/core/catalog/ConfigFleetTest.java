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

/** Sixty instances in virtual time: changes, lagging replicas, silent watches, restarts. */
class ConfigFleetTest {
    private static final int NODES = 60;
    private static final int HOP_MS = 2;
    private static final int LAG_MS = 400;
    private static final int IN_FORCE_MS = 3_000;
    private static final int LAST_CHANGE_MS = 40_000;

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Long> writtenAt = new ArrayList<>();
    private final List<ConfigState> history = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private long now;
    private long sequence;
    private long compactedBefore;

    @Property(seed = "51", tries = 4)
    void everyChangeIsInForceEverywhereWithinThreeSecondsAndNeverReverts(@ForAll long seed) {
        new ConfigFleetTest().replay(seed);
    }

    private void replay(long seed) {
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
                case 0 -> at(at, () -> node.silentWatches = 3);
                case 1 -> at(at, node::start);
                case 2 -> at(at, () -> compactedBefore = history.size());
                default -> {
                    at(at, () -> node.cutOff = true);
                    at(at + random.nextInt(8_000), () -> node.cutOff = false);
                }
            }
        }
        run(LAST_CHANGE_MS + 10_000);
        nodes.forEach(node -> assertEquals(newest(history.size()), node.shown));
    }

    private void write(int key, boolean withdrawn) {
        ConfigRef ref = new ConfigRef(ConfigKind.KEY, "k" + key);
        KeyEntry entry = new KeyEntry(ref.name(), "t", "d" + history.size(), withdrawn);
        writtenAt.add(now);
        history.add(new ConfigState(ref, history.size() + 1, entry));
    }

    /** What a reader must hold that knows everything up to a revision. */
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
        private Map<String, KeyEntry> shown = Map.of();
        private int life;
        private int startedAtRevision;
        private long shownRevision;
        private boolean cutOff;
        private int silentWatches;

        Node(int index, SplittableRandom random) {
            this.index = index;
            this.random = random;
        }

        void start() {
            sync = ConfigSync.create(ConfigTimings.defaults());
            life++;
            startedAtRevision = history.size();
            shownRevision = 0;
            at(now + random.nextInt(20), () -> tick(life));
            at(now + random.nextInt(500), () -> gossip(life));
        }

        private void tick(int of) {
            if (of != life) {
                return;
            }
            sync.nextCall(now).ifPresent(this::call);
            show();
            check();
            at(now + 20, () -> tick(of));
        }

        private void gossip(int of) {
            if (of != life) {
                return;
            }
            long newest = sync.merger().newestRevision();
            at(
                    now + HOP_MS,
                    () ->
                            nodes.stream()
                                    .filter(other -> other != this)
                                    .forEach(other -> other.sync.onPeerRevision(newest, now)));
            at(now + 500, () -> gossip(of));
        }

        private void show() {
            if (sync.isReady()) {
                shown = sync.merger().catalog().keys();
                long revision = sync.merger().completeRevision();
                assertTrue(revision >= shownRevision, "went back");
                assertTrue(revision >= startedAtRevision, "older than at its start");
                shownRevision = revision;
            }
        }

        /** An instance that takes requests holds all that was written three seconds ago. */
        private void check() {
            int due = revisionAt(now - IN_FORCE_MS);
            if (sync.isReady() && !sync.isIsolated(now)) {
                assertTrue(
                        shownRevision >= due,
                        () ->
                                "e"
                                        + index
                                        + " at "
                                        + now
                                        + " holds "
                                        + shownRevision
                                        + " of "
                                        + due);
            }
        }

        private void call(ConfigCall call) {
            int of = life;
            int lag = random.nextInt(LAG_MS);
            if (cutOff) {
                answer(of, now + HOP_MS, () -> sync.onCallFailed(call.number(), now));
            } else if (call instanceof ConfigCall.Barrier) {
                long revision = history.size();
                answer(of, now + HOP_MS, () -> sync.onBarrierWritten(call.number(), revision, now));
            } else if (call instanceof ConfigCall.ListAll) {
                list(of, call, revisionAt(now - lag));
            } else if (silentWatches > 0) {
                silentWatches--;
            } else {
                watch(of, (ConfigCall.Watch) call, lag, now + 1_000);
            }
        }

        private void list(int of, ConfigCall call, int revision) {
            Map<ConfigKind, Long> revisions = new EnumMap<>(ConfigKind.class);
            Map<ConfigKind, List<ConfigState>> listed = new EnumMap<>(ConfigKind.class);
            for (ConfigKind kind : ConfigKind.values()) {
                revisions.put(kind, (long) revision);
                listed.put(kind, List.of());
            }
            Map<ConfigRef, ConfigState> keys = new HashMap<>();
            history.subList(0, revision).forEach(state -> keys.put(state.ref(), state));
            listed.put(ConfigKind.KEY, List.copyOf(keys.values()));
            answer(of, now + HOP_MS, () -> sync.onListed(call.number(), revisions, listed, now));
        }

        private void watch(int of, ConfigCall.Watch call, int lag, long until) {
            int revision = revisionAt(now - lag);
            if (call.afterRevision() < compactedBefore) {
                answer(of, now + HOP_MS, () -> sync.onGap(call.number(), now));
            } else if (revision > call.afterRevision() || now >= until) {
                int after = (int) Math.min(call.afterRevision(), revision);
                List<ConfigState> changes = List.copyOf(history.subList(after, revision));
                answer(
                        of,
                        now + HOP_MS,
                        () -> sync.onChanges(call.number(), revision, changes, now));
            } else {
                at(now + 10, () -> watch(of, call, lag, until));
            }
        }

        private void answer(int of, long time, Runnable action) {
            at(
                    time,
                    () -> {
                        if (of == life) {
                            action.run();
                        }
                    });
        }
    }
}
