import java.io.OutputStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound model replica: registers itself in the store and answers with streams of events. */
final class Replica implements AutoCloseable {
    static final int SLOTS = 8;
    private static final int QUEUE = 24;

    final String id;
    final String version;
    private final String service;
    private final String zone;
    private final Store store;
    private final Fleet fleet;
    private final ServerSocket server;
    private final long born = System.currentTimeMillis();
    private final Semaphore slots = new Semaphore(SLOTS, true);
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger waiting = new AtomicInteger();
    private volatile String state = "ready";
    private volatile boolean isOpen = true;
    private volatile int events = 20;
    private volatile int gapMs = 10;
    private long seq;

    Replica(Fleet fleet, String id, String service, String zone, String version) throws Exception {
        this.fleet = fleet;
        this.store = fleet.store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.version = version;
        server = Http.serve(0, this::handle);
        Thread heartbeat = new Thread(this::beat);
        heartbeat.setDaemon(true);
        heartbeat.start();
    }

    /** Sets the length of streams. */
    void setStream(int newEvents, int newGapMs) {
        events = newEvents;
        gapMs = newGapMs;
    }

    private void beat() {
        while (isOpen) {
            register();
            try {
                Thread.sleep(1_200);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private synchronized void register() {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", service);
        entry.put("address", "127.0.0.1:" + server.getLocalPort());
        entry.put("zone", zone);
        entry.put("version", version);
        entry.put("slots", SLOTS);
        entry.put("state", state);
        entry.put("coldLeftMs", 0);
        entry.put("seq", ++seq);
        entry.put("born", born);
        store.put("servers", id, entry);
    }

    private void handle(Http.Message request, OutputStream out) throws Exception {
        if (request.path().equals("/report")) {
            Map<String, Object> report = new LinkedHashMap<>();
            report.put("stage", "colocated");
            report.put("models", List.of(Map.of("name", "m", "version", 1, "adapters", List.of())));
            report.put("busy", false);
            report.put("seq", seq);
            report.put("waiting", waiting.get());
            report.put("running", running.get());
            report.put("kvUsed", 0);
            report.put("kvTotal", 147261);
            report.put("handles", 0);
            report.put("born", born);
            Http.respondJson(out, 200, report);
            return;
        }
        Map<String, String> head = new LinkedHashMap<>();
        head.put("Sardinelift-Instance-Id", id);
        head.put("Sardinelift-Server-Load", running.get() + "," + waiting.get() + "," + SLOTS);
        if (request.path().equals("/health")) {
            Http.respond(out, state.equals("ready") ? 200 : 503, head, new byte[0]);
            return;
        }
        String call = request.header("sardinelift-attempt-id");
        head.put("Sardinelift-Attempt-Id", String.valueOf(call));
        String expected = request.header("sardinelift-expect-instance");
        if (expected != null && !expected.equals(id)) {
            head.put("Sardinelift-Not-Run", "1");
            Http.respond(out, 421, head, new byte[0]);
            return;
        }
        if (waiting.incrementAndGet() > QUEUE) {
            waiting.decrementAndGet();
            head.put("Sardinelift-Not-Run", "1");
            Http.respond(out, 503, head, new byte[0]);
            return;
        }
        slots.acquire();
        waiting.decrementAndGet();
        running.incrementAndGet();
        try {
            run(request, call, head, out);
        } finally {
            running.decrementAndGet();
            slots.release();
        }
    }

    private void run(
            Http.Message request, String call, Map<String, String> head, OutputStream out)
            throws Exception {
        String last = request.header("last-event-id");
        int from = last == null ? 0 : Integer.parseInt(last);
        fleet.onRun(this, call, request, from);
        head.put("Content-Type", "text/event-stream");
        head.put("Sardinelift-Server-Stamp", "stamp." + id + "." + call);
        head.put("Sardinelift-Weight-Versions", "1");
        head.put("Transfer-Encoding", "chunked");
        StringBuilder text = new StringBuilder("HTTP/1.1 200 OK\r\n");
        head.forEach((name, value) -> text.append(name + ": " + value + "\r\n"));
        out.write((text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        for (int event = from + 1; event <= events; event++) {
            TimeUnit.MILLISECONDS.sleep(gapMs);
            String part = "id: " + event + "\ndata: " + data(call, event, version) + "\n\n";
            out.write((Integer.toHexString(part.length()) + "\r\n" + part + "\r\n").getBytes());
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes());
        out.flush();
        fleet.onRunEnded(this, call);
    }

    /** Text of an event, which depends on the call, its number and the software. */
    static String data(String call, int event, String version) {
        return call + ":" + event + ":" + version;
    }

    /** Number of events of a whole stream. */
    int events() {
        return events;
    }

    @Override
    public void close() throws Exception {
        isOpen = false;
        server.close();
        store.remove("servers", id);
    }
}
