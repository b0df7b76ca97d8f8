package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for a model replica, which registers itself in the store. */
final class Replica implements AutoCloseable {
    static final int SLOTS = 8;
    private static final int QUEUE = 24;
    private static final long BEAT_MS = 1_200;

    private final String id;
    private final String service;
    private final String zone;
    private final String host;
    private final Store store;
    private final Record record;
    private final Behaviour behaviour;
    private final Http.Server server;
    private final Semaphore slots = new Semaphore(SLOTS, true);
    private final AtomicInteger waiting = new AtomicInteger();
    private final long born = System.currentTimeMillis();
    private volatile boolean isClosed;

    /** What a replica does with a request once it has a slot. */
    interface Behaviour {
        void run(Replica replica, Http.Message request, Http.Connection connection)
                throws IOException, InterruptedException;
    }

    Replica(
            String id,
            String service,
            String zone,
            String host,
            Store store,
            Record record,
            Behaviour behaviour)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.host = host;
        this.store = store;
        this.record = record;
        this.behaviour = behaviour;
        this.server = new Http.Server(host, 0, this::handle);
        beat(0);
        Http.start("beats", this::beats);
    }

    String id() {
        return id;
    }

    Record record() {
        return record;
    }

    int running() {
        return SLOTS - slots.availablePermits();
    }

    private void beats() {
        for (int seq = 1; !isClosed; seq++) {
            try {
                Thread.sleep(BEAT_MS);
            } catch (InterruptedException e) {
                return;
            }
            if (!store.isDown()) {
                beat(seq);
            }
        }
    }

    private void beat(int seq) {
        store.put(
                "servers",
                id,
                String.format(
                        "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
                                + "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
                                + "\"coldLeftMs\":0,\"stage\":\"colocated\",\"models\":[{\"name\":"
                                + "\"m\",\"version\":1,\"adapters\":[]}],\"seq\":%d,\"born\":%d}",
                        service, host, server.port(), zone, SLOTS, seq, born));
    }

    private void handle(Http.Message request, Http.Connection connection) throws IOException {
        String attempt = request.header("Sardinelift-Attempt-Id");
        if (request.path().equals("/report")) {
            byte[] report =
                    ("{\"stage\":\"colocated\",\"models\":[{\"name\":\"m\",\"version\":1,"
                                    + "\"adapters\":[]}],\"busy\":false,\"seq\":1,\"waiting\":"
                                    + waiting.get()
                                    + ",\"running\":"
                                    + running()
                                    + ",\"kvUsed\":0,\"kvTotal\":147261,\"handles\":0,\"born\":"
                                    + born
                                    + "}")
                            .getBytes(StandardCharsets.UTF_8);
            connection.respond(200, Map.of("Content-Type", "application/json"), report);
            return;
        }
        String expected = request.header("Sardinelift-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            connection.respond(421, Map.of("Sardinelift-Instance-Id", id), new byte[0]);
            return;
        }
        if (request.path().equals("/health")) {
            connection.respond(200, Map.of("Sardinelift-Instance-Id", id), new byte[0]);
            return;
        }
        if (attempt == null || waiting.get() >= QUEUE) {
            Map<String, String> headers = new LinkedHashMap<>(headers(request));
            headers.put("Sardinelift-Not-Run", "1");
            connection.respond(attempt == null ? 400 : 503, headers, new byte[0]);
            return;
        }
        waiting.incrementAndGet();
        try {
            boolean isAdmitted = slots.tryAcquire(20, TimeUnit.SECONDS);
            waiting.decrementAndGet();
            if (!isAdmitted) {
                throw new IOException("no slot");
            }
            try {
                behaviour.run(this, request, connection);
            } finally {
                slots.release();
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** The headers of each answer. */
    Map<String, String> headers(Http.Message request) {
        Map<String, String> headers = new LinkedHashMap<>();
        String attempt = request.header("Sardinelift-Attempt-Id");
        if (attempt != null) {
            headers.put("Sardinelift-Attempt-Id", attempt);
        }
        headers.put("Sardinelift-Server-Stamp", "stamp." + id);
        headers.put("Sardinelift-Weight-Versions", "1");
        headers.put("Sardinelift-Server-Load", running() + "," + waiting.get() + "," + SLOTS);
        return headers;
    }

    /** Makes up the data of the event with a number. */
    interface EventText {
        String data(String attempt, int event);
    }

    /** Runs a request as a stream of events, a few at a time, and stops if the caller has left. */
    static void stream(
            Replica replica,
            Http.Message request,
            Http.Connection connection,
            int events,
            int eventsPerStep,
            long stepMs,
            EventText text)
            throws IOException, InterruptedException {
        String attempt = request.header("Sardinelift-Attempt-Id");
        String last = request.header("Last-Event-Id");
        int next = last == null ? 1 : Integer.parseInt(last) + 1;
        Map<String, String> headers = replica.headers(request);
        headers.put("Content-Type", "text/event-stream");
        Thread.sleep(stepMs);
        connection.startChunked(200, headers);
        while (next <= events) {
            StringBuilder step = new StringBuilder();
            for (int i = 0; i < eventsPerStep && next <= events; i++, next++) {
                step.append("id: " + next + "\ndata: " + text.data(attempt, next) + "\n\n");
            }
            connection.chunk(step.toString().getBytes(StandardCharsets.UTF_8));
            Thread.sleep(stepMs);
        }
        connection.endChunked();
    }

    @Override
    public void close() {
        isClosed = true;
        server.close();
    }
}
