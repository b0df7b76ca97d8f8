package org.sardinelift.companion.target;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.companion.order.OrderExecutor;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.http.HttpLimits;
import org.sardinelift.http.HttpServer;
import org.sardinelift.protocol.generated.Order;
import org.sardinelift.runtime.ControlThread;
import org.sardinelift.settings.SettingsFile;
import org.sardinelift.settings.SettingsResult;

/** Hiding of models while an order is executed; the target answers when the test says so. */
class ModelTrackerTest {
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ControlThread control = ControlThread.start("test-control");
    private final List<HttpExchange> orders = new CopyOnWriteArrayList<>();
    private volatile String version = "1";
    private HttpServer server;
    private ModelTracker tracker;

    @BeforeEach
    void start() throws Exception {
        server = HttpServer.start(group, "127.0.0.1", 0, HttpLimits.defaults(), null, this::handle);
        String text =
                "{\"name\":\"t\",\"service\":\"s\",\"port\":"
                        + server.port()
                        + ",\"models\":[\"m\",\"n\"]}";
        SettingsResult<TargetSettings> settings = SettingsFile.parse(text, TargetSettings::read);
        TargetSettings target = ((SettingsResult.Valid<TargetSettings>) settings).settings();
        HttpClient client = HttpClient.create(group, Duration.ofSeconds(5), null);
        tracker =
                new ModelTracker(
                        new TargetControlClient(client, target),
                        target.models(),
                        control::execute,
                        () -> {});
    }

    @AfterEach
    void stop() {
        server.close();
        control.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private void handle(HttpExchange exchange) {
        if (exchange.path().equals("/orders")) {
            orders.add(exchange);
        } else {
            exchange.respondJson(
                    200,
                    "{\"role\":\"decode\",\"data\":[{\"id\":\"m\",\"version\":\""
                            + version
                            + "\"},{\"id\":\"n\"}]}");
        }
    }

    private <T> T onControl(Supplier<T> work) {
        CompletableFuture<T> done = new CompletableFuture<>();
        control.execute(() -> done.complete(work.get()));
        return done.join();
    }

    private CompletableFuture<OrderExecutor.Result> startOrder(Order order) {
        int before = orders.size();
        CompletableFuture<OrderExecutor.Result> result = new CompletableFuture<>();
        control.execute(() -> tracker.execute(order).thenAccept(result::complete));
        await().until(() -> orders.size() > before);
        return result;
    }

    @Test
    void modelIsHiddenDuringItsOrderAndShownWithItsNewVersionAtTheResult() {
        CompletableFuture<OrderExecutor.Result> result =
                startOrder(new Order(1, 7, "load", "m", "2", "e1"));
        assertEquals(List.of("n"), onControl(tracker::availableModels).models());
        version = "2";
        orders.get(0).respondJson(200, "{}");
        assertTrue(result.join().isAccepted());
        assertEquals(
                new LoadedModels(List.of("m", "n"), Map.of("m", "2"), "decode"),
                onControl(tracker::availableModels));
    }

    @Test
    void roleOrderHidesAllModelsUntilItIsRefused() {
        CompletableFuture<OrderExecutor.Result> result =
                startOrder(new Order(1, 7, "role", "prefill", "", "e1"));
        assertEquals(List.of(), onControl(tracker::availableModels).models());
        orders.get(0).respondJson(500, "{}");
        assertFalse(result.join().isAccepted());
        assertEquals(List.of("m", "n"), onControl(tracker::availableModels).models());
    }

    @Test
    void onlyATargetThatChecksFencesGetsTheFencingNumber() {
        startOrder(new Order(1, 7, "load", "m", "2", "e1").setChecksFence(true));
        assertEquals("7", orders.get(0).header("Fence"));
        startOrder(new Order(2, 8, "load", "m", "3", "e1").setChecksFence(false));
        assertNull(orders.get(1).header("Fence"));
    }
}
