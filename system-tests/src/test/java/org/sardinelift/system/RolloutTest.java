package org.sardinelift.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Rolls out a model version under traffic with {@code sardinectl}. Guards against failed calls, too
 * few serving targets, and orders of a superseded controller that take effect.
 */
class RolloutTest {
    private static final int ENGINES = 4;
    private static final String ROLLOUT_NAME = "registry/" + Fleet.MODEL;
    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(60);

    private Fleet fleet;
    private final List<String> failures = new CopyOnWriteArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean isRunning = true;
    private final AtomicInteger calls = new AtomicInteger();
    private volatile long maxBusy;

    /**
     * The engines receive the fencing numbers, so that the tests can read them, but don't check
     * them: the companion must hold back orders with old numbers.
     */
    @BeforeEach
    void start() throws IOException {
        fleet = Fleet.start();
        fleet.putObject(
                "service/registry",
                "{\"engine\":true,\"checksFence\":true,\"models\":[\"" + Fleet.MODEL + "\"]}");
        for (int i = 1; i <= ENGINES; i++) {
            fleet.startTarget(
                    "engine-" + i, "registry", true, "--load-ms", "400", "--no-fence-check");
        }
        fleet.startEntry("entry-1");
        fleet.startEntry("entry-2");
        fleet.awaitServing();
    }

    @AfterEach
    void stop() throws Exception {
        stopTraffic();
        fleet.close();
    }

    @Test
    @Tag("known-red")
    void aVersionIsChangedWithoutAFailedCallAndWithEnoughTargetsServing() throws Exception {
        startTraffic("entry-1");
        startTraffic("entry-2");
        monitorBusyEngines();
        JsonNode started = runSardinectl(0, "rollout", "start", "registry", optionsForVersion("2"));
        assertEquals("started", started.path("outcome").asText());
        runSardinectl(1, "rollout", "start", "registry", optionsForVersion("3"));

        awaitPhase("COMPLETED");
        stopTraffic();
        assertEquals(List.of("2", "2", "2", "2"), versions());
        assertEquals(List.of(), failures);
        assertTrue(calls.get() > ENGINES, calls + " calls");
        assertEquals(1, maxBusy, "most engines busy at once; three of four must serve");
    }

    @Test
    void aFailedLoadIsRolledBackAndTheReasonIsReported() throws Exception {
        setEngineFaults("engine-3", "{\"failVersion\":\"3\"}");
        startTraffic("entry-1");
        runSardinectl(0, "rollout", "start", "registry", optionsForVersion("3"));

        JsonNode end = awaitPhase("ROLLED_BACK");
        stopTraffic();
        assertTrue(end.path("reason").asText().contains("c-engine-3"), end.toString());
        assertTrue(end.path("reason").asText().contains("can't be loaded"), end.toString());
        assertEquals(List.of("1", "1", "1", "1"), versions());
        assertTrue(
                acceptedFences("engine-1").size() >= 2,
                "orders of engine-1: to the new version and back");
        assertEquals(List.of(), failures);
    }

    @Test
    void aSuspendedControllerIsReplacedAndNoneOfItsOrdersTakesEffectLater() throws Exception {
        for (int i = 1; i <= ENGINES; i++) {
            setEngineFaults("engine-" + i, "{\"loadMs\":2000}");
        }
        runSardinectl(0, "rollout", "start", "registry", optionsForVersion("2"));
        Awaitility.await().atMost(AWAIT_TIMEOUT).until(() -> !acceptedFences("engine-1").isEmpty());
        String first = leaseHolder();
        fleet.processes.get(first).suspend();
        Awaitility.await().atMost(AWAIT_TIMEOUT).until(() -> !leaseHolder().equals(first));
        String second = leaseHolder();
        assertNotEquals(first, second);
        long newFence = leaseFence();
        Awaitility.await()
                .atMost(AWAIT_TIMEOUT)
                .until(() -> allAcceptedFences().anyMatch(number -> number >= newFence << 20));
        fleet.processes.get(first).resume();

        awaitPhase("COMPLETED");
        assertEquals(List.of("2", "2", "2", "2"), versions());
        for (int i = 1; i <= ENGINES; i++) {
            List<Long> accepted = acceptedFences("engine-" + i);
            assertEquals(accepted.stream().sorted().toList(), accepted, "engine-" + i);
        }
        assertEquals(newFence, leaseFence(), "the resumed controller must not take the lease back");
        assertFalse(acceptedFences("engine-4").isEmpty());
    }

    private static String[] optionsForVersion(String version) {
        return new String[] {
            "--model", Fleet.MODEL, "--model-version", version, "--least-serving", "0.75"
        };
    }

    private JsonNode runSardinectl(
            int exitCode, String first, String second, String third, String... more)
            throws IOException {
        String[] args =
                Stream.concat(
                                Stream.of(first, second, third),
                                Stream.concat(Stream.of(more), Stream.of(commonOptions())))
                        .toArray(String[]::new);
        ChildProcess.Output output = ChildProcess.run(fleet.log("ctl"), "sardinectl", args);
        assertEquals(exitCode, output.exitCode(), output.text());
        return fleet.parseJson(output.text());
    }

    private String[] commonOptions() {
        String platform = "127.0.0.1:" + fleet.platform.port("address");
        return new String[] {"--platform", platform, "--output", "json"};
    }

    private JsonNode awaitPhase(String phase) {
        return Awaitility.await(phase)
                .atMost(AWAIT_TIMEOUT)
                .pollInterval(Duration.ofMillis(500))
                .until(
                        () -> runSardinectl(0, "rollout", "status", ROLLOUT_NAME).at("/rollouts/0"),
                        status -> status.path("phase").asText().equals(phase));
    }

    private JsonNode readLease() throws IOException {
        String url =
                "http://127.0.0.1:"
                        + fleet.platform.port("address")
                        + "/objects/rollout-lease/controller";
        return fleet.parseJson(
                fleet.parseJson(fleet.send(Fleet.request(url).GET()).body())
                        .path("value")
                        .asText());
    }

    private String leaseHolder() throws IOException {
        return readLease().path("instance").asText();
    }

    private long leaseFence() throws IOException {
        return readLease().path("fence").asLong();
    }

    private List<String> versions() throws IOException {
        List<String> versions = new ArrayList<>();
        for (int i = 1; i <= ENGINES; i++) {
            versions.add(
                    fleet.fetchFromTarget("engine-" + i, "/v1/models")
                            .at("/data/0/version")
                            .asText());
        }
        return versions;
    }

    private List<Long> acceptedFences(String engine) throws IOException {
        JsonNode orders = fleet.fetchFromTarget(engine, "/admin/orders").path("orders");
        return StreamSupport.stream(orders.spliterator(), false)
                .map(order -> order.path("fence").asLong())
                .toList();
    }

    private Stream<Long> allAcceptedFences() throws IOException {
        List<Long> all = new ArrayList<>();
        for (int i = 1; i <= ENGINES; i++) {
            all.addAll(acceptedFences("engine-" + i));
        }
        return all.stream();
    }

    private void setEngineFaults(String engine, String json) throws IOException {
        String url =
                "http://127.0.0.1:" + fleet.processes.get(engine).port("address") + "/admin/orders";
        fleet.send(Fleet.request(url).POST(HttpRequest.BodyPublishers.ofString(json)));
    }

    /** Sends one call after another in the background until {@link #stopTraffic}. */
    private void startTraffic(String entry) {
        startLoop(
                () -> {
                    int status = fleet.chat(entry, Fleet.KEY, "float " + calls, 2).statusCode();
                    calls.incrementAndGet();
                    if (status != 200) {
                        failures.add(entry + " " + status);
                    }
                });
    }

    private void monitorBusyEngines() {
        startLoop(
                () -> {
                    long busy = IntStream.rangeClosed(1, ENGINES).filter(this::isBusy).count();
                    maxBusy = Math.max(maxBusy, busy);
                });
    }

    private boolean isBusy(int engine) {
        try {
            return fleet.fetchFromTarget("engine-" + engine, "/admin/orders")
                    .path("busy")
                    .asBoolean();
        } catch (IOException e) {
            failures.add(e.toString());
            return false;
        }
    }

    private interface Task {
        void run() throws IOException;
    }

    private void startLoop(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            while (isRunning) {
                                try {
                                    task.run();
                                } catch (IOException e) {
                                    failures.add(e.toString());
                                }
                            }
                        });
        threads.add(thread);
        thread.start();
    }

    private void stopTraffic() throws InterruptedException {
        isRunning = false;
        for (Thread thread : threads) {
            thread.join();
        }
    }
}
