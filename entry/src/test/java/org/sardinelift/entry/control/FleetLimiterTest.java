package org.sardinelift.entry.control;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.catalog.TeamPlan;
import org.sardinelift.core.fleet.InstanceInfo;
import org.sardinelift.core.limit.Admission;
import org.sardinelift.core.limit.LimitBounds;
import org.sardinelift.core.limit.MemberId;
import org.sardinelift.core.limit.Shares;
import org.sardinelift.entry.peer.Peers;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.kinds.DecodeResult;
import org.sardinelift.objects.kinds.SharesCodec;
import org.sardinelift.protocol.FrameConnection;
import org.sardinelift.protocol.FrameListener;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Hello;
import org.sardinelift.runtime.ControlThread;
import org.sardinelift.testkit.FakeObjectStore;

/**
 * Guards against entries that refuse requests although the fleet has the tokens, that keep units
 * when they leave, or that report readiness while they have only loans.
 */
class FleetLimiterTest {
    private static final TeamPlan TEAM_WITH_LOW_RATE =
            new TeamPlan("north", 5, 2, Set.of("m"), Set.of(), 1, 1);
    private static final List<String> ENTRIES = List.of("e1", "e2", "e3");

    private final FakeObjectStore store = new FakeObjectStore();
    private final Map<String, LinkedPeers> links = new ConcurrentHashMap<>();
    private final Map<String, FleetLimiter> limiters = new ConcurrentHashMap<>();
    private final List<ControlThread> threads = new ArrayList<>();

    @AfterEach
    void stop() {
        threads.forEach(ControlThread::close);
    }

    @Test
    void anEntryBorrowsTheFractionsOfATokenThatOtherEntriesOwn() {
        ENTRIES.forEach(this::start);
        await().until(() -> unitsOf("e1") == Shares.TOTAL_UNITS / 3 && pool() == 0);
        await().until(() -> admit("e1") instanceof Admission.Admitted);
    }

    @Test
    void anEntryWithoutPlatformAndPeersRefusesRequests() {
        store.setDown(true);
        start("e1");
        Admission.Refused refused = assertInstanceOf(Admission.Refused.class, admit("e1"));
        assertEquals(1, Long.signum(refused.retryAfter().toNanos()));
    }

    @Test
    void aLeavingEntryReleasesItsUnits() {
        ENTRIES.forEach(this::start);
        await().until(() -> unitsOf("e1") == Shares.TOTAL_UNITS / 3 && pool() == 0);
        limiters.get("e1").leave();
        await().until(() -> unitsOf("e1") == 0);
    }

    @Test
    void leaveCompletesWhileThePlatformIsDown() throws Exception {
        store.setDown(true);
        start("e1");
        limiters.get("e1").leave().get(20, TimeUnit.SECONDS);
    }

    @Test
    void leaveCompletesAfterTheEntryIsRemovedFromTheShares() throws Exception {
        ENTRIES.forEach(this::start);
        await().until(() -> unitsOf("e1") == Shares.TOTAL_UNITS / 3 && pool() == 0);
        limiters.get("e1").leave().get(20, TimeUnit.SECONDS);
        assertFalse(shares().members().containsKey(new MemberId("e1", "e1-1")));
    }

    @Test
    void anEntryThatHasOnlyLoansIsNotReadyAtOnce() {
        start("e1");
        await().atMost(20, TimeUnit.SECONDS)
                .until(() -> unitsOf("e1") >= Shares.TOTAL_UNITS * 2 / 3);
        store.setDown(true);

        start("e2");
        await().until(() -> admit("e2") instanceof Admission.Admitted);

        assertFalse(limiters.get("e2").isReady());
    }

    /**
     * Guards against an entry that counts the time before its start as time waited for a share,
     * when the list of instances reaches its control thread before the start does.
     */
    @Test
    void anEntryIsNotReadyBeforeItsStart() {
        store.setDown(true);
        start("e1");
        FleetLimiter early = create("e2");
        early.admit(TEAM_WITH_LOW_RATE, admission -> {});

        await().pollDelay(Duration.ofMillis(300)).until(() -> true);

        assertFalse(early.isReady());
    }

    private Admission admit(String entry) {
        CompletableFuture<Admission> answer = new CompletableFuture<>();
        limiters.get(entry).admit(TEAM_WITH_LOW_RATE, answer::complete);
        return answer.join();
    }

    private void start(String name) {
        FleetLimiter limiter = create(name);
        limiter.start();
        links.values().forEach(LinkedPeers::connect);
    }

    /** Creates a limiter that has read the list of instances and is not started. */
    private FleetLimiter create(String name) {
        ControlThread control = ControlThread.start(name);
        threads.add(control);
        LinkedPeers peers = new LinkedPeers(name);
        links.put(name, peers);
        FleetLimiter limiter =
                FleetLimiter.of(
                        store,
                        control,
                        peers,
                        team -> Optional.of(TEAM_WITH_LOW_RATE),
                        new MemberId(name, name + "-1"),
                        LimitBounds.defaults(),
                        new SplittableRandom(name.hashCode()));
        limiters.put(name, limiter);
        List<InstanceInfo> listed =
                ENTRIES.stream()
                        .map(it -> new InstanceInfo(it, "entry", "riga", "127.0.0.1", 1, "", false))
                        .toList();
        control.execute(() -> limiter.onInstancesListed(listed));
        return limiter;
    }

    private long unitsOf(String name) {
        return shares().units(new MemberId(name, name + "-1"));
    }

    private long pool() {
        return shares().pool();
    }

    private Shares shares() {
        ReadResult read = store.read(SharesCodec.OBJECT_KEY).join();
        return read instanceof ReadResult.Found found
                        && SharesCodec.decode(found.object().value())
                                instanceof DecodeResult.Valid<Shares> valid
                ? valid.item()
                : Shares.initial();
    }

    /** Peers in one process that deliver frames to each other directly. */
    private final class LinkedPeers implements Peers {
        private final String self;
        private final List<FrameListener> listeners = new ArrayList<>();

        LinkedPeers(String self) {
            this.self = self;
        }

        void connect() {
            listeners.forEach(listener -> listener.onConnected(new SenderConnection(self)));
        }

        @Override
        public void broadcast(Frame frame) {
            connected().forEach(peer -> send(peer, frame));
        }

        @Override
        public boolean send(String instance, Frame frame) {
            links.get(instance)
                    .listeners
                    .forEach(listener -> listener.onFrame(new SenderConnection(self), frame));
            return true;
        }

        @Override
        public List<String> connected() {
            return links.keySet().stream().filter(peer -> !peer.equals(self)).toList();
        }

        @Override
        public void addListener(FrameListener listener) {
            listeners.add(listener);
        }
    }

    private record SenderConnection(String instance) implements FrameConnection {
        @Override
        public boolean send(Frame frame) {
            return false;
        }

        @Override
        public Hello peer() {
            return new Hello().setInstance(instance);
        }

        @Override
        public void close(String reason) {}
    }
}
