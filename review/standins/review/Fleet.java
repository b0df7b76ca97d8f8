package review;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment: the project's gateways and workers as processes with the commands of the
 * deploy file, each machine with a loopback address of its own, beside stand-ins for the store and
 * the replicas.
 */
final class Fleet implements AutoCloseable {
    static final String HOST = "nony24.example";
    static final String KEY = "i9n73hh2b9wu3fexd9dn";
    static final String TENANT = "kaje80";
    static final String SERVICE = "huvo11a";
    static final String[] ZONES = {"moreton", "hinchinbrook", "gulf-west"};
    private static final String SETTINGS = "/etc/sardinelift/settings.toml";

    final Record record;
    final Store store;
    final Path folder;
    final List<Replica> replicas = new ArrayList<>();
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private final List<String> gateways = new ArrayList<>();
    private final List<String> workers = new ArrayList<>();
    private final int callerPort;
    private final int readyPort;
    private final int internalPort;

    Fleet(Record record) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("review-");
        store = new Store("127.0.2.1", 0, record);
        callerPort = freePort();
        readyPort = freePort();
        internalPort = freePort();
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    private static int freePort() throws IOException {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0)) {
                int port = socket.getLocalPort();
                try (DatagramSocket udp = new DatagramSocket(null)) {
                    udp.bind(new InetSocketAddress(InetAddress.getByName("0.0.0.0"), port));
                    return port;
                } catch (IOException e) {
                    // Taken for datagrams; the next one is tried.
                }
            }
        }
    }

    void configure(String routes, String tenants) {
        configure(routes, tenants, 7);
    }

    void configure(String routes, String tenants, int version) {
        store.put(
                "config",
                "main",
                "{\"version\":" + version + ",\"routes\":["
                        + routes
                        + "],\"services\":[{\"name\":\""
                        + SERVICE
                        + "\",\"healthPath\":\"/health\",\"maxConns\":370,\"protocol\":\"h1\","
                        + "\"tls\":false,\"engine\":{\"slots\":8,\"kvCapacityTokens\":147261}}],"
                        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":["
                        + tenants
                        + "]}");
    }

    static String tenant(String name, String key) {
        return "{\"name\":\"" + name + "\",\"apiKeys\":[\"" + key + "\"],\"priority\":1,"
                + "\"ratePerS\":200,\"burst\":200}";
    }

    static String route(String name, String prefix, String kind, int attempts, String more) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"" + prefix
                + "\",\"kind\":\"" + kind + "\",\"timeoutMs\":5000,\"sloMs\":300,\"priority\":0,"
                + "\"service\":\"" + SERVICE + "\",\"maxAttempts\":" + attempts
                + ",\"public\":false" + more + "}";
    }

    static String batchRoute() {
        return "{\"name\":\"r-batch\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/pule252/\","
                + "\"kind\":\"batch\",\"timeoutMs\":15000,\"sloMs\":400,\"priority\":2,"
                + "\"completionTargetMs\":18000,\"retentionS\":60,\"maxAttempts\":3,\"service\":\""
                + SERVICE + "\",\"resumable\":true,\"sticky\":true,\"gapAimMs\":400,"
                + "\"public\":false,\"cap\":0}";
    }

    void startReplicas(int count, Replica.Behaviour behaviour) throws IOException {
        for (int i = 0; i < count; i++) {
            startReplica(i, behaviour);
        }
    }

    Replica startReplica(int number, Replica.Behaviour behaviour) throws IOException {
        Replica replica =
                new Replica(
                        "i-" + number,
                        SERVICE,
                        ZONES[number % ZONES.length],
                        "127.0.3." + (number + 1),
                        store,
                        record,
                        behaviour);
        replicas.add(replica);
        return replica;
    }

    String gatewayHost(int number) {
        return "127.0.1." + (number + 1);
    }

    int callerPort() {
        return callerPort;
    }

    void startGateways(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            String name = "front-" + ZONES[i % ZONES.length] + "-" + (i + 1);
            gateways.add(name);
            start(name, "gateway", gatewaySettings(name, i));
        }
    }

    void startWorkers(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            String name = "store-" + ZONES[i % ZONES.length] + "-" + (i + 1);
            workers.add(name);
            start(name, "worker", workerSettings(name, i));
        }
    }

    private String seeds() {
        return "[\"127.0.1.1:8683\",\"127.0.1.2:8683\"]";
    }

    private String gatewaySettings(String name, int number) {
        String host = gatewayHost(number);
        return "{\"role\":\"gateway\",\"instance\":\"" + name + "\",\"zone\":\""
                + ZONES[number % ZONES.length] + "\",\"caller\":\"" + host + ":" + callerPort
                + "\",\"ready\":\"" + host + ":" + readyPort + "\",\"internal\":\"" + host + ":"
                + internalPort + "\",\"seeds\":" + seeds() + ",\"store\":{\"address\":\"127.0.2.1:"
                + store.port() + "\"},\"unrepeatableReuseMs\":200,\"firstStart\":true,"
                + "\"graceMs\":8000}";
    }

    private String workerSettings(String name, int number) {
        String host = "127.0.4." + (number + 1);
        return "{\"role\":\"worker\",\"instance\":\"" + name + "\",\"zone\":\""
                + ZONES[number % ZONES.length] + "\",\"internal\":\"" + host + ":" + internalPort
                + "\",\"seeds\":" + seeds() + ",\"store\":{\"address\":\"127.0.2.1:"
                + store.port() + "\"},\"spool\":{\"folder\":\"" + folder.resolve("data-" + name)
                + "\",\"losses\":1},\"firstStart\":true,\"graceMs\":8000}";
    }

    private void start(String name, String role, String settings) throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings);
        List<String> command =
                new ArrayList<>(Arrays.asList(runLine(role).replace(SETTINGS, file.toString())
                        .split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log(name).toFile()));
        Process process = builder.start();
        processes.put(name, process);
        record.write("started " + name + ", process " + process.pid());
    }

    /** The command of a role in the deploy file. */
    private static String runLine(String role) throws IOException {
        boolean isInRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                isInRole = line.equals("[roles." + role + "]");
            } else if (isInRole && line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/system.toml has no command of role " + role);
    }

    List<String> workers() {
        return List.copyOf(workers);
    }

    /** Kills processes at the same moment. */
    void kill(List<String> names) {
        names.forEach(name -> processes.get(name).destroyForcibly());
        record.write("killed " + names);
    }

    /** Deletes the files of a worker's disk; the worker must not be running. */
    void wipeDisk(String worker) throws IOException, InterruptedException {
        processes.get(worker).waitFor();
        deleteAll(folder.resolve("data-" + worker));
        record.write("the disk of " + worker + " is empty");
    }

    /** Starts a killed process again with the same settings. */
    void restart(String name) throws IOException {
        String role = name.startsWith("store-") ? "worker" : "gateway";
        String settings = Files.readString(folder.resolve(name + ".json"));
        start(name, role, settings.replace("\"firstStart\":true", "\"firstStart\":false"));
    }

    Process process(String name) {
        return processes.get(name);
    }

    List<String> names() {
        List<String> names = new ArrayList<>(workers);
        names.addAll(gateways);
        return names;
    }

    Path log(String name) {
        return folder.resolve(name + ".log");
    }

    /** Waits until all gateways are ready; returns false after some seconds. */
    boolean awaitReady() throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(25);
        while (System.nanoTime() - deadline < 0) {
            boolean areReady = true;
            for (int i = 0; i < gateways.size(); i++) {
                areReady &= isReady(i);
            }
            if (areReady) {
                record.write("all gateways are ready");
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    boolean isReady(int gateway) {
        try {
            return Http.call(gatewayHost(gateway), readyPort, 1_000, "GET", "/ready",
                                    Map.of("Host", "ready"), new byte[0])
                            .status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    Map<String, String> headers(String attempt, String key, long deadlineMs) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("Sardinelift-Attempt-Id", attempt);
        headers.put("Sardinelift-Deadline-Ms", Long.toString(deadlineMs));
        headers.put("Sardinelift-Model", "m");
        headers.put("Sardinelift-Token-Count", "350,219");
        headers.put("Sardinelift-Prompt-Prefix", "5c1e07a2:100," + attempt + ":250");
        headers.put("Authorization", "Bearer " + key);
        return headers;
    }

    private void killAll() {
        processes.values().forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        replicas.forEach(Replica::close);
        store.close();
        String keep = System.getenv("KEEP_LOGS");
        if (keep != null) {
            System.err.println("logs are kept in " + folder);
            return;
        }
        deleteAll(folder);
    }

    private static void deleteAll(Path root) throws IOException {
        if (!Files.exists(root)) {
            return;
        }
        try (Stream<Path> files = Files.walk(root)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
