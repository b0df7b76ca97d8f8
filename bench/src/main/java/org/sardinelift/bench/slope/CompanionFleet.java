package org.sardinelift.bench.slope;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.sardinelift.core.explain.DecisionLog;
import org.sardinelift.core.fleet.FleetView;
import org.sardinelift.core.fleet.InstanceInfo;
import org.sardinelift.core.route.Candidate;
import org.sardinelift.entry.call.CallBounds;
import org.sardinelift.entry.call.CompanionListener;
import org.sardinelift.entry.call.CrashGuard;
import org.sardinelift.entry.call.FrameDispatcher;
import org.sardinelift.entry.call.LinkOpener;
import org.sardinelift.entry.call.PoisonBounds;
import org.sardinelift.entry.peer.PeerMesh;
import org.sardinelift.http.HttpClient;
import org.sardinelift.objects.HttpObjectStore;
import org.sardinelift.protocol.ConnectionTimings;
import org.sardinelift.protocol.FrameConnection;
import org.sardinelift.protocol.FrameListener;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Hello;
import org.sardinelift.protocol.generated.Lane;
import org.sardinelift.protocol.generated.LoadReport;
import org.sardinelift.runtime.Telemetry;
import org.sardinelift.settings.SettingsFile;
import org.sardinelift.settings.SettingsResult;

/** An entry's dispatcher with companions that have reported once, without network connections. */
final class CompanionFleet implements AutoCloseable {
    static final String SERVICE = "llm";
    static final String ZONE = "zone-0";
    private static final int ZONES = 3;
    private static final int MODELS = 11;
    private static final int SLOTS = 64;
    private static final String LOOPBACK = "127.0.0.1";
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final CompanionListener NO_OP_LISTENER =
            new CompanionListener() {
                @Override
                public void onConnection(String instance, boolean up) {}

                @Override
                public void onLeaving(String instance) {}
            };

    private final EventLoopGroup group;
    private final FrameDispatcher dispatcher;

    private CompanionFleet(EventLoopGroup group, FrameDispatcher dispatcher) {
        this.group = group;
        this.dispatcher = dispatcher;
    }

    static CompanionFleet start(int companions) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        FrameDispatcher dispatcher =
                FrameDispatcher.create(
                        "entry-1",
                        ZONE,
                        bounds(),
                        CompanionFleet::open,
                        NO_OP_LISTENER,
                        group,
                        () -> 0,
                        guard(group),
                        DecisionLog.of(1),
                        Telemetry.start("entry-1", Optional.empty(), Optional.empty(), 0));
        List<InstanceInfo> listed =
                IntStream.range(0, companions).mapToObj(CompanionFleet::companion).toList();
        dispatcher.update(new FleetView(List.of(), listed));
        return new CompanionFleet(group, dispatcher);
    }

    static String model(int number) {
        return "model-" + number % MODELS;
    }

    List<Candidate> candidates() {
        return dispatcher.candidates();
    }

    int freeBatchSlots(String model) {
        return dispatcher.freeBatchSlots(SERVICE, model);
    }

    @Override
    public void close() {
        dispatcher.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static CallBounds bounds() {
        return defaults(SettingsFile.parse("{}", CallBounds::read));
    }

    private static CrashGuard guard(EventLoopGroup group) {
        Hello hello = new Hello("entry-1", "life-1", "entry", ZONE, Lane.CONTROL, 1, 0);
        return CrashGuard.of(
                "entry-1",
                defaults(SettingsFile.parse("{}", PoisonBounds::read)),
                PeerMesh.of(group, null, () -> hello, ConnectionTimings.defaults()),
                HttpObjectStore.create(
                        HttpClient.create(group, TIMEOUT, null), LOOPBACK, 1, TIMEOUT),
                group);
    }

    private static <T> T defaults(SettingsResult<T> result) {
        if (result instanceof SettingsResult.Valid<T> valid) {
            return valid.settings();
        }
        throw new IllegalStateException("empty settings must give the defaults");
    }

    private static InstanceInfo companion(int index) {
        return new InstanceInfo(
                "companion-" + index,
                "companion",
                "zone-" + index % ZONES,
                LOOPBACK,
                1,
                "replica-" + index,
                false);
    }

    private static LinkOpener.Link open(InstanceInfo companion, Lane lane, FrameListener listener) {
        FrameConnection connection = new DiscardingConnection(companion.name());
        listener.onConnected(connection);
        if (lane == Lane.CONTROL) {
            listener.onFrame(connection, Frame.loadReport(report(companion)));
        }
        return () -> {};
    }

    private static LoadReport report(InstanceInfo companion) {
        int index = Integer.parseInt(companion.name().substring("companion-".length()));
        return new LoadReport()
                .setTarget(companion.target())
                .setTargetIncarnation("life-1")
                .setServiceName(SERVICE)
                .setZone(companion.zone())
                .setSlots(SLOTS)
                .setOnlineRunning(index % SLOTS)
                .setBatchFree(index % 4)
                .setModels(List.of(model(index)))
                .setHealthy(true);
    }

    /** A connection that discards all frames. */
    private record DiscardingConnection(String instance) implements FrameConnection {
        @Override
        public boolean send(Frame frame) {
            return true;
        }

        @Override
        public Hello peer() {
            return new Hello(instance, "life-1", "companion", ZONE, Lane.CONTROL, 1, 0);
        }

        @Override
        public void close(String reason) {}
    }
}
