package org.sardinelift.companion;

import static org.awaitility.Awaitility.await;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.sardinelift.protocol.generated.Lane;
import org.sardinelift.settings.SettingsFile;
import org.sardinelift.settings.SettingsResult;

/** A companion with a fake target of two slots and a fake entry connected on all lanes. */
final class CompanionRig implements AutoCloseable {
    final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    final FakeTarget target;
    final CompanionProcess companion;
    final FakeEntry online;
    final FakeEntry batch;
    final FakeEntry control;
    private final List<FakeEntry> entries = new ArrayList<>();

    private CompanionRig(String extraSettings, String extraTarget) throws Exception {
        target = FakeTarget.start(group);
        companion = CompanionProcess.start(settings(extraSettings, extraTarget));
        online = connect("e1", Lane.ONLINE);
        batch = connect("e1", Lane.BATCH);
        control = connect("e1", Lane.CONTROL);
    }

    static CompanionRig start() throws Exception {
        return new CompanionRig("", "");
    }

    static CompanionRig start(String extraSettings, String extraTarget) throws Exception {
        return new CompanionRig(extraSettings, extraTarget);
    }

    FakeEntry connect(String name, Lane lane) {
        FakeEntry entry = FakeEntry.connect(group, name, companion.peerPort(), lane);
        entries.add(entry);
        await().until(entry::isConnected);
        return entry;
    }

    private CompanionSettings settings(String extraSettings, String extraTarget) {
        String text =
                """
                {"instance": "c1", "zone": "riga", "reportIntervalMs": 20,
                 "peer": {"port": 0}, "operators": {"port": 0}, %s
                 "target": {"name": "t1", "port": %d, "service": "registry", "slots": 2, %s
                            "models": ["tags"], "probeIntervalMs": 20}}
                """
                        .formatted(extraSettings, target.port(), extraTarget);
        SettingsResult<CompanionSettings> result =
                SettingsFile.parse(text, CompanionSettings::read);
        if (result instanceof SettingsResult.Valid<CompanionSettings> valid) {
            return valid.settings();
        }
        throw new IllegalArgumentException(result.toString());
    }

    @Override
    public void close() {
        entries.forEach(FakeEntry::close);
        companion.close();
        target.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
