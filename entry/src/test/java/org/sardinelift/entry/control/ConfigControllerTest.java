package org.sardinelift.entry.control;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.catalog.ConfigItem;
import org.sardinelift.core.catalog.ConfigTimings;
import org.sardinelift.core.catalog.KeyEntry;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.kinds.ConfigCodec;
import org.sardinelift.runtime.ControlThread;
import org.sardinelift.testkit.FakeObjectStore;

class ConfigControllerTest {
    private final FakeObjectStore store = new FakeObjectStore();
    private final ControlThread control = ControlThread.start("control");
    private final ConfigController config =
            ConfigController.of(store, control, new FakePeers(), "e1", ConfigTimings.defaults());

    @AfterEach
    void stop() {
        control.close();
    }

    @Test
    void listenersReceiveThePreviousAndTheNewCatalogWhenAKeyIsWithdrawn() {
        put(new KeyEntry("k1", "north", "00ff", false), 0);
        List<Boolean> withdrawn = new CopyOnWriteArrayList<>();
        config.addListener(
                (before, after) -> {
                    if (before.keys().containsKey("k1")) {
                        withdrawn.add(before.keys().get("k1").isWithdrawn());
                    }
                    withdrawn.add(after.keys().get("k1").isWithdrawn());
                });
        config.start(() -> true);
        await().until(config::isReady);
        put(new KeyEntry("k1", "north", "00ff", true), 1);
        await().until(() -> withdrawn.size() == 3);
        assertEquals(List.of(false, false, true), withdrawn);
        assertEquals(store.revision(), config.catalog().revision());
    }

    @Test
    void isNotReadyBeforeThePlatformAnswersAndListsAgainAfterAGap() {
        store.setDown(true);
        config.start(() -> true);
        await().until(() -> store.calls() >= 2);
        assertFalse(config.isReady());
        store.setDown(false);
        await().until(config::isReady);
        put(new KeyEntry("k1", "north", "00ff", false), 0);
        store.compact();
        await().until(() -> config.catalog().keys().containsKey("k1"));
    }

    private void put(ConfigItem item, long version) {
        ObjectKey key =
                new ObjectKey(
                        ConfigCodec.refOf(item).kind().label(), ConfigCodec.refOf(item).name());
        store.write(key, version, ConfigCodec.encode(item));
    }
}
