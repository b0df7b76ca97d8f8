import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: store and replicas as stand-ins in this process, and the project's
 * own gateways and workers as processes, started with the commands of the deploy file. As on the
 * platform, a process that ends is started again after a short delay.
 */
final class Fleet implements AutoCloseable {
    static final String HOST = "calls.example";
    static final String KEY = "key-1";
    static final String TEAM = "team-1";
    static final String SERVICE = "llm";
    static final String STREAM = "/stream/";
    static final String ONCE = "/once/";
    static final String BATCH = "/batch/";
    private static final int RESTART_DELAY_MS = 700;

    final Store store;
    final Path folder;
    final List<Replica> replicas = new ArrayList<>();
    final List<Proc> gateways = new ArrayList<>();
    final List<Proc> workers = new ArrayList<>();
    final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();
    final Map<String, Integer> ended = new ConcurrentHashMap<>();
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private volatile boolean isClosing;

    /** A request that a replica began to run. */
    record Run(long ms, Replica replica, String call, String tenant, int from) {}

    Fleet(Path caseFolder) throws Exception {
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        folder = Files.createTempDirectory("review-3-");
        store = new Store();
        Runtime.getRuntime().addShutdownHook(new Thread(this::stopProcesses));
    }

    long ms() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
    }

    void log(String text) {
        synchronized (record) {
            record.println(ms() + " " + text);
        }
    }

    void onRun(Replica replica, String call, Http.Message request, int from) {
        runs.add(new Run(ms(), replica, call, request.header("sardinelift-tenant"), from));
    }

    void onRunEnded(Replica replica, String call) {
        ended.merge(call, 1, Integer::sum);
    }

    Replica addReplica(String id, String zone, String version) throws Exception {
        Replica replica = new Replica(this, id, SERVICE, zone, version);
        replicas.add(replica);
        return replica;
    }

    /** Writes the operator's configuration: two online routes and one for batch jobs. */
    void configure(long version) {
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("version", version);
        config.put(
                "routes",
                List.of(
                        online("r-stream", STREAM, 2, true),
                        online("r-once", ONCE, 1, false),
                        batch()));
        config.put(
                "services",
                List.of(Map.of("name", SERVICE, "healthPath", "/health", "maxConns", 370)));
        config.put(
                "limits",
                Map.of(
                        "maxHeaderBytes", 16384,
                        "maxBodyBytes", 4194304,
                        "headerTimeoutMs", 3000,
                        "idleTimeoutMs", 15000));
        config.put(
                "tenants",
                List.of(
                        Map.of(
                                "name", TEAM,
                                "apiKeys", List.of(KEY),
                                "ratePerS", 200,
                                "burst", 200)));
        store.put("config", "main", config);
    }

    private static Map<String, Object> online(
            String name, String prefix, int attempts, boolean resumable) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", name);
        route.put("host", HOST);
        route.put("pathPrefix", prefix);
        route.put("kind", "stream");
        route.put("resumable", resumable);
        route.put("timeoutMs", 5000);
        route.put("sloMs", 300);
        route.put("gapAimMs", 400);
        route.put("priority", 0);
        route.put("maxAttempts", attempts);
        route.put("sticky", true);
        route.put("service", SERVICE);
        return route;
    }

    private static Map<String, Object> batch() {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", "r-batch");
        route.put("host", HOST);
        route.put("pathPrefix", BATCH);
        route.put("kind", "batch");
        route.put("resumable", true);
        route.put("timeoutMs", 15000);
        route.put("sloMs", 400);
        route.put("priority", 2);
        route.put("completionTargetMs", 18000);
        route.put("retentionS", 60);
        route.put("maxAttempts", 3);
        route.put("sticky", true);
        route.put("service", SERVICE);
        return route;
    }

    static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** One machine's process. */
    final class Proc {
        final String name;
        final String role;
        final int caller;
        final int ready;
        final int internal;
        final Path settings;
        final Path disk;
        private final String zone;
        volatile Process process;
        volatile int ends;
        private volatile boolean isHeld;

        private Proc(String role, String name, String zone) throws Exception {
            this.role = role;
            this.name = name;
            this.zone = zone;
            caller = freePort();
            ready = freePort();
            internal = freePort();
            settings = folder.resolve(name + ".json");
            disk = folder.resolve(name + "-data");
            Files.createDirectories(disk);
            start(true);
            Thread keeper = new Thread(this::keepRunning);
            keeper.setDaemon(true);
            keeper.start();
        }

        /** Fills in the fields of the templates of the deploy file. */
        private void writeSettings(boolean isFirstStart) throws Exception {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("role", role);
            fields.put("instance", name);
            fields.put("zone", zone);
            if (role.equals("gateway")) {
                fields.put("caller", "127.0.0.1:" + caller);
                fields.put("ready", "127.0.0.1:" + ready);
            }
            fields.put("internal", "127.0.0.1:" + internal);
            fields.put("seeds", List.of());
            fields.put("store", Map.of("address", "127.0.0.1:" + store.port()));
            if (role.equals("gateway")) {
                fields.put("unrepeatableReuseMs", 200);
            } else {
                fields.put("spool", Map.of("folder", disk.toString(), "losses", 1));
            }
            fields.put("firstStart", isFirstStart);
            fields.put("graceMs", 8000);
            Files.writeString(settings, Json.write(fields));
        }

        private synchronized void start(boolean isFirstStart) throws Exception {
            writeSettings(isFirstStart);
            List<String> command = new ArrayList<>();
            for (String word : runLine(role).split(" +")) {
                command.add(
                        word.equals("/etc/sardinelift/settings.toml")
                                ? settings.toString()
                                : word);
            }
            Path output = folder.resolve(name + ".log");
            process =
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                            .start();
            log("start " + name + " pid " + process.pid());
        }

        private void keepRunning() {
            try {
                while (!isClosing) {
                    Process current = process;
                    int code = current.waitFor();
                    if (isClosing || current != process) {
                        continue;
                    }
                    if (!isHeld) {
                        ends++;
                        log("ended by itself: " + name + " code " + code);
                    }
                    while (isHeld && !isClosing) {
                        Thread.sleep(20);
                    }
                    Thread.sleep(RESTART_DELAY_MS);
                    if (!isClosing) {
                        start(false);
                    }
                }
            } catch (Exception e) {
                log("keeper of " + name + ": " + e);
            }
        }

        /** Kills the process; it starts again after {@link #release}. */
        void kill() {
            isHeld = true;
            process.destroyForcibly();
            log("kill " + name);
        }

        void release() {
            isHeld = false;
        }

        void signal(String signal) throws Exception {
            log("signal " + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }

        boolean isReady() {
            try {
                return Http.call(ready, "GET", "/ready", Map.of("Host", "x"), new byte[0], 500)
                                .status
                        == 200;
            } catch (Exception e) {
                return false;
            }
        }
    }

    /** Reads the command of a role from the deploy file. */
    private static String runLine(String role) throws Exception {
        boolean isInRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                isInRole = line.equals("[roles." + role + "]");
            } else if (isInRole && line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IllegalStateException("no command of " + role);
    }

    Proc addGateway(String name, String zone) throws Exception {
        Proc proc = new Proc("gateway", name, zone);
        gateways.add(proc);
        return proc;
    }

    Proc addWorker(String name, String zone) throws Exception {
        Proc proc = new Proc("worker", name, zone);
        workers.add(proc);
        return proc;
    }

    /** Waits until all gateways are ready; returns false if they are not within the time. */
    boolean awaitReady(int seconds) throws Exception {
        for (int i = 0; i < seconds * 10; i++) {
            if (gateways.stream().allMatch(Proc::isReady)) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    static Map<String, String> headers(String id) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("Authorization", "Bearer " + KEY);
        headers.put("Connection", "close");
        if (id != null) {
            headers.put("Sardinelift-Attempt-Id", id);
        }
        return headers;
    }

    /** A call at a gateway over a new connection; status 0 if there is no whole answer. */
    Http.Message call(
            Proc gateway, String method, String uri, Map<String, String> headers, byte[] body,
            int ms) {
        try {
            return Http.call(gateway.caller, method, uri, headers, body, ms);
        } catch (Exception e) {
            Http.Message none = new Http.Message();
            none.body = String.valueOf(e).getBytes();
            return none;
        }
    }

    private void stopProcesses() {
        isClosing = true;
        Stream.concat(gateways.stream(), workers.stream())
                .forEach(proc -> proc.process.destroyForcibly());
    }

    @Override
    public void close() throws Exception {
        stopProcesses();
        for (Replica replica : replicas) {
            replica.close();
        }
        store.close();
        String keep = System.getenv("KEEP_LOGS");
        if (keep != null) {
            Files.createDirectories(Path.of(keep));
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file : files.filter(each -> each.toString().endsWith(".log")).toList()) {
                    Files.copy(
                            file,
                            Path.of(keep).resolve(file.getFileName()),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
        record.flush();
    }
}
