package org.sardinelift.entry.peer;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.BindException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.fleet.FleetView;
import org.sardinelift.core.fleet.InstanceInfo;
import org.sardinelift.protocol.ConnectionTimings;
import org.sardinelift.protocol.FrameConnection;
import org.sardinelift.protocol.FrameListener;
import org.sardinelift.protocol.FrameServer;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Hello;
import org.sardinelift.protocol.generated.Lane;
import org.sardinelift.protocol.generated.Revision;

/** Guards against entries without a connection to each other, and connections to lost entries. */
class PeerMeshTest {
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Map<String, PeerMesh> meshes = new ConcurrentHashMap<>();
    private final Map<String, FrameServer> servers = new ConcurrentHashMap<>();

    @AfterEach
    void stop() {
        meshes.values().forEach(PeerMesh::close);
        servers.values().forEach(FrameServer::close);
        group.shutdownGracefully();
    }

    @Test
    void everyEntryConnectsToEveryOtherAndALostOneIsDisconnected() throws BindException {
        Set<String> received = new ConcurrentSkipListSet<>();
        for (String name : List.of("e1", "e2", "e3")) {
            start(name);
            meshes.get(name).addListener(new RecordingListener(name, received));
        }
        meshes.values().forEach(mesh -> mesh.update(view()));
        await().until(() -> meshes.values().stream().allMatch(m -> m.connected().size() == 2));
        meshes.forEach((name, mesh) -> mesh.broadcast(Frame.revision(new Revision(1, 0, true))));
        await().until(
                        () ->
                                received.equals(
                                        Set.of(
                                                "e1<e2", "e1<e3", "e2<e1", "e2<e3", "e3<e1",
                                                "e3<e2")));

        servers.get("e3").close();
        await().until(() -> meshes.get("e1").connected().equals(List.of("e2")));
        assertFalse(meshes.get("e1").send("e3", Frame.revision(new Revision(2, 0, true))));
    }

    private void start(String name) throws BindException {
        Hello hello = new Hello(name, name + "-1", "entry", "riga", Lane.CONTROL, 1, 0);
        PeerMesh mesh = PeerMesh.of(group, null, () -> hello, ConnectionTimings.defaults());
        meshes.put(name, mesh);
        servers.put(
                name,
                FrameServer.start(
                        group,
                        "127.0.0.1",
                        0,
                        null,
                        () -> hello,
                        ConnectionTimings.defaults(),
                        mesh.inboundListener()));
    }

    private FleetView view() {
        return new FleetView(
                servers.entrySet().stream()
                        .map(entry -> info(entry.getKey(), entry.getValue().port()))
                        .collect(Collectors.toList()),
                List.of());
    }

    private static InstanceInfo info(String name, int port) {
        return new InstanceInfo(name, "entry", "riga", "127.0.0.1", port, "", false);
    }

    private record RecordingListener(String name, Set<String> received) implements FrameListener {
        @Override
        public void onConnected(FrameConnection connection) {}

        @Override
        public void onFrame(FrameConnection connection, Frame frame) {
            received.add(name + "<" + connection.peer().getInstance());
        }

        @Override
        public void onDisconnected(FrameConnection connection, String reason) {}
    }
}
