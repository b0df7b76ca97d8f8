package org.sardinelift.gateway.call;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.load.LoadTracker;
import org.sardinelift.core.load.TargetHealth;
import org.sardinelift.core.load.TargetLoad;
import org.sardinelift.core.plan.RegisteredTarget;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;
import org.sardinelift.runtime.log.Event;

/** The targets with their health and load; on the event loop. */
public final class TargetTable {
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(200);
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(300);
    private static final Duration FIRST_PAUSE = Duration.ofMillis(400);
    private static final Duration USUAL_GAP = Duration.ofMillis(25);

    /** Time between a broken connection and the notice that its target has died. */
    private static final Duration DEATH_WINDOW = Duration.ofSeconds(1);

    private static final int OK = 200;

    private final LoadTracker board;
    private final HttpClient client;
    private final EventLoop loop;
    private final String probePath;
    private final Duration firstEvent;
    private final Duration callTime;
    private final Map<String, Target> targets = new HashMap<>();
    private DeathListener deathListener = (request, target) -> {};

    /** Hears of targets that died. */
    public interface DeathListener {
        /**
         * A target died while it ran a request.
         *
         * @param request hash of the request
         * @param target life of the target that ended
         */
        void onDeath(long request, String target);
    }

    /** A target: how it registered itself and how its calls went. */
    public static final class Target {
        private RegisteredTarget entry;
        private final TargetHealth health;
        private final Map<Long, Long> broken = new HashMap<>();
        private boolean misdirected;
        private boolean verifying;
        private long lastBytesAt;

        private Target(RegisteredTarget entry, TargetHealth health) {
            this.entry = entry;
            this.health = health;
        }

        /**
         * How it registered itself.
         *
         * @return its entry
         */
        public RegisteredTarget entry() {
            return entry;
        }

        /**
         * Name of this life of the target.
         *
         * @return its id
         */
        public String id() {
            return entry.id();
        }

        /**
         * How its calls went.
         *
         * @return its health
         */
        public TargetHealth health() {
            return health;
        }

        /**
         * Bytes came from the target.
         *
         * @param now the time, nanoseconds
         */
        public void onBytesReceived(long now) {
            lastBytesAt = now;
        }

        /**
         * When bytes came from the target last.
         *
         * @return the time, nanoseconds; 0 before the first
         */
        public long lastBytesAt() {
            return lastBytesAt;
        }
    }

    private TargetTable(
            LoadTracker board,
            HttpClient client,
            EventLoop loop,
            String probePath,
            Duration firstEvent,
            Duration callTime) {
        this.board = board;
        this.client = client;
        this.loop = loop;
        this.probePath = probePath;
        this.firstEvent = firstEvent;
        this.callTime = callTime;
    }

    /**
     * A table without targets.
     *
     * @param board knows the calls on targets
     * @param client sends probes
     * @param loop the event loop of traffic
     * @param probePath path of probes
     * @param firstEvent usual time from a send to the first event
     * @param callTime usual time that an online call holds a slot
     * @return the table
     */
    public static TargetTable create(
            LoadTracker board,
            HttpClient client,
            EventLoop loop,
            String probePath,
            Duration firstEvent,
            Duration callTime) {
        return new TargetTable(board, client, loop, probePath, firstEvent, callTime);
    }

    /**
     * Sets who hears of targets that died.
     *
     * @param listener the listener
     */
    public void setDeathListener(DeathListener listener) {
        deathListener = listener;
    }

    /**
     * Takes the targets that are registered now.
     *
     * @param entries entries by name
     */
    public void update(Map<String, RegisteredTarget> entries) {
        targets.keySet().retainAll(entries.keySet());
        entries.values().forEach(this::put);
    }

    private void put(RegisteredTarget entry) {
        Target known = targets.get(entry.id());
        boolean sameLife =
                known != null
                        && known.entry.startedAtMs() == entry.startedAtMs()
                        && known.entry.host().equals(entry.host())
                        && known.entry.port() == entry.port();
        if (sameLife) {
            known.entry = entry;
        } else {
            targets.put(entry.id(), new Target(entry, health()));
        }
    }

    private TargetHealth health() {
        return TargetHealth.of(PROBE_INTERVAL, FIRST_PAUSE, firstEvent, callTime, USUAL_GAP);
    }

    /**
     * Looks a target up.
     *
     * @param id its name
     * @return the target, or empty where it isn't registered
     */
    public Optional<Target> find(String id) {
        return Optional.ofNullable(targets.get(id));
    }

    /**
     * All targets, usable or not.
     *
     * @return the targets
     */
    public Collection<Target> all() {
        return targets.values();
    }

    /**
     * Targets of a service that calls may be sent to.
     *
     * @param service the service
     * @param without names of targets left out
     * @param now the time, nanoseconds
     * @return their loads
     */
    public List<TargetLoad> usableLoads(String service, Set<String> without, long now) {
        return targets.values().stream()
                .filter(target -> target.entry.service().equals(service))
                .filter(target -> !without.contains(target.id()))
                .filter(target -> isOpen(target, now))
                .map(target -> load(target, now))
                .toList();
    }

    /**
     * All targets that calls may be sent to.
     *
     * @param now the time, nanoseconds
     * @return their loads
     */
    public List<TargetLoad> usableLoads(long now) {
        return targets.values().stream()
                .filter(target -> isOpen(target, now))
                .map(target -> load(target, now))
                .toList();
    }

    private static boolean isOpen(Target target, long now) {
        return !target.entry.isLeaving() && !target.misdirected && target.health.isUsable(now);
    }

    /**
     * A target with its load.
     *
     * @param target the target
     * @param now the time, nanoseconds
     * @return its load
     */
    public TargetLoad load(Target target, long now) {
        return new TargetLoad(
                target.id(),
                target.entry.zone(),
                target.entry.slots(),
                board.knownCalls(target.id(), now),
                target.health.callNanos(),
                target.health.timeToFirstEventNanos());
    }

    /**
     * A target answered as another one: its address has been given to somebody else.
     *
     * @param target the target
     */
    public void onMisdirected(Target target) {
        target.misdirected = true;
        client.closeIdle(target.entry.host(), target.entry.port());
        Event.of("target.misdirected").with("target", target.id()).warn();
    }

    /**
     * A call shows that a target doesn't answer; it is probed until it does.
     *
     * @param target the target
     * @param reason what the call saw
     */
    public void onSilent(Target target, String reason) {
        if (!target.health.onSilent(System.nanoTime())) {
            return;
        }
        Event.of("target.silent").with("target", target.id()).with("reason", reason).warn();
        client.closeIdle(target.entry.host(), target.entry.port());
        long now = System.nanoTime();
        target.broken.values().removeIf(at -> now - at >= DEATH_WINDOW.toNanos());
        target.broken.keySet().forEach(request -> deathListener.onDeath(request, target.id()));
        target.broken.clear();
        probe(target);
    }

    /**
     * A connection broke while a target ran a request: the target may have died of it, which its
     * next connection shows.
     *
     * @param target the target
     * @param request hash of the request
     */
    public void onConnectionBroken(Target target, long request) {
        onCallFailed(target);
        target.broken.put(request, System.nanoTime());
        if (target.verifying) {
            return;
        }
        target.verifying = true;
        client.call(probeCall(target))
                .whenComplete(
                        (answer, error) -> {
                            target.verifying = false;
                            if (answer == null) {
                                onSilent(target, "no answer after a connection broke");
                            }
                        });
    }

    private void probe(Target target) {
        boolean registered = targets.get(target.id()) == target;
        if (!registered || !target.health.tryStartProbe(System.nanoTime())) {
            return;
        }
        client.call(probeCall(target))
                .whenComplete(
                        (answer, error) ->
                                onProbe(target, answer == null ? null : answer.status()));
    }

    private HttpCall probeCall(Target target) {
        return new HttpCall(
                target.entry.host(),
                target.entry.port(),
                "GET",
                probePath,
                List.of(),
                new byte[0],
                PROBE_TIMEOUT,
                true);
    }

    private void onProbe(Target target, @Nullable Integer status) {
        boolean answered = status != null && status == OK;
        target.health.onProbeEnded(answered, System.nanoTime());
        if (answered) {
            Event.of("target.answers").with("target", target.id()).info();
            return;
        }
        loop.schedule(() -> probe(target), PROBE_INTERVAL.toMillis() + 1, TimeUnit.MILLISECONDS);
    }

    /**
     * A call failed at a target.
     *
     * @param target the target
     */
    public void onCallFailed(Target target) {
        if (target.health.onFailure(System.nanoTime())) {
            Event.of("target.paused").with("target", target.id()).warn();
        }
    }
}
