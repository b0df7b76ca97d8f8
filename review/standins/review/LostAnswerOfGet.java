package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send GET requests on a stream route that may not be resumed, over kept connections, and
 * the replicas lose the answer of some that they ran.
 */
final class LostAnswerOfGet implements Case.Script {
    private static final int CLIENTS = 12;
    private static final long TRAFFIC_MS = 18_000;
    private static final int EVENTS = 6;

    /** Of the requests that a replica runs while it loses answers. */
    private static final double LOST_SHARE = 0.05;

    private static final long LOSSES_FROM_MS = 5_000;
    private static final long LOSSES_FOR_MS = 6_000;

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private volatile boolean losesAnswers;

    @Override
    public boolean run(Fleet fleet, Record record, boolean hasTrouble) throws Exception {
        fleet.configure(
                Fleet.route("r-once", "/pufi791/", "stream", 1,
                        ",\"sticky\":true,\"resumable\":false,\"gapAimMs\":400"),
                Fleet.tenant(Fleet.TENANT, Fleet.KEY));
        // Half of the replicas lose answers.
        for (int i = 0; i < 4; i++) {
            boolean isFaulty = i % 2 == 0;
            Random random = new Random(i);
            fleet.startReplica(i, (replica, request, connection) ->
                    runRequest(replica, request, connection, isFaulty, random));
        }
        fleet.startWorkers(1);
        fleet.startGateways(2);
        if (!fleet.awaitReady()) {
            throw new Case.NotRunnable("the gateways are not ready");
        }
        List<Thread> clients = new ArrayList<>();
        long until = System.currentTimeMillis() + TRAFFIC_MS;
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(() -> send(fleet, record, number, until));
            client.start();
            clients.add(client);
        }
        Thread.sleep(LOSSES_FROM_MS);
        if (hasTrouble) {
            losesAnswers = true;
            record.write("answers get lost at half of the replicas");
        }
        Thread.sleep(LOSSES_FOR_MS);
        losesAnswers = false;
        record.write("no more answers get lost");
        for (Thread client : clients) {
            client.join();
        }
        List<String> twice =
                runs.entrySet().stream()
                        .filter(each -> each.getValue().get() > 1)
                        .map(Map.Entry::getKey)
                        .toList();
        record.write("requests run: " + runs.size() + "; run more than once: " + twice.size());
        twice.forEach(id -> record.write("TWICE: " + id + " ran " + runs.get(id) + " times"));
        if (runs.size() < 100) {
            throw new Case.NotRunnable("too few requests ran");
        }
        return twice.isEmpty();
    }

    private void send(Fleet fleet, Record record, int number, long until) {
        int next = 0;
        while (System.currentTimeMillis() < until) {
            try (Http.Client client =
                    new Http.Client(fleet.gatewayHost(number % 2), fleet.callerPort(), 6_000)) {
                while (System.currentTimeMillis() < until) {
                    String id = String.format("9c41d07b%02x%06x", number, next++);
                    sendOne(client, fleet, record, id);
                    Thread.sleep(20);
                }
            } catch (IOException e) {
                // The next request uses a new connection.
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void sendOne(Http.Client client, Fleet fleet, Record record, String id)
            throws IOException {
        try {
            Http.Message answer =
                    client.call(
                            "GET",
                            "/pufi791/" + id,
                            fleet.headers(id, Fleet.KEY, 5_000),
                            new byte[0]);
            record.write("GET " + id + ": " + answer.status());
        } catch (IOException e) {
            record.write("GET " + id + ": " + e);
            throw e;
        }
    }

    private void runRequest(
            Replica replica,
            Http.Message request,
            Http.Connection connection,
            boolean isFaulty,
            Random random)
            throws IOException, InterruptedException {
        String id = request.header("Sardinelift-Attempt-Id");
        int count = runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
        replica.record().write(replica.id() + " runs " + id + ", run " + count);
        if (isFaulty && losesAnswers && random.nextDouble() < LOST_SHARE) {
            Thread.sleep(60);
            replica.record().write(replica.id() + " has run " + id + ", its answer is lost");
            connection.reset();
            return;
        }
        Replica.stream(replica, request, connection, EVENTS, 2, 15, (each, event) -> "x" + event);
    }
}
