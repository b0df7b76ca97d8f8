import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: the project's gateways and workers as processes started with the
 * commands of deploy/system.toml, and stand-ins in this process for the platform's store, the model
 * replicas and the clients.
 */
public class Bed implements AutoCloseable {
    static final JsonMapper MAPPER = JsonMapper.builder().build();
    static final String HOST = "desk.example";
    static final String KEY = "key-one-000000000000";
    static final String TENANT = "tenant-one";
    static final String SERVICE = "llm-service";

    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final PrintWriter record;
    final Path recordFile;
    final long startedAt = System.nanoTime();
    final Random random = new Random();
    final String net = "127." + (10 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
    final int internalPort;
    final int callerPort;
    final int readyPort;
    final Store store;
    final Map<String, Replica> replicas = new LinkedHashMap<>();
    final Map<String, Node> nodes = new LinkedHashMap<>();
    final List<String> runs = new ArrayList<>();
    int lossesAllowed = 1;

    Bed(Path recordFile) throws IOException {
        folder = Files.createTempDirectory("review-2-");
        this.recordFile = recordFile;
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        internalPort = freePort();
        callerPort = freePort();
        readyPort = freePort();
        store = new Store();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        note("network " + net + "x, ports " + internalPort + ", " + callerPort + ", " + readyPort);
    }

    int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(net + "1"))) {
            return probe.getLocalPort();
        }
    }

    double now() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void note(String text) {
        record.printf(Locale.ROOT, "%8.3f  %s%n", now(), text);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- the project's processes

    final class Node {
        final String name;
        final String role;
        final String zone;
        final String ip;
        final Path disk;
        int storePort;
        boolean isFirstStart = true;
        Process process;
        int starts;

        Node(String name, String role, String zone, String ip) {
            this.name = name;
            this.role = role;
            this.zone = zone;
            this.ip = ip;
            this.disk = folder.resolve(name + "-disk");
            this.storePort = store.port;
        }

        void start() throws IOException {
            Path settings = folder.resolve(name + ".json");
            Files.writeString(settings, settings());
            Files.createDirectories(disk);
            List<String> command = new ArrayList<>();
            for (String word : runLine(role).split(" ")) {
                command.add(word.equals("/etc/sardinelift/settings.toml") ? settings.toString() : word);
            }
            File log = folder.resolve(name + "." + starts++ + ".log").toFile();
            process =
                    new ProcessBuilder(command)
                            .directory(root.toFile())
                            .redirectErrorStream(true)
                            .redirectOutput(log)
                            .start();
            isFirstStart = false;
            note("start " + name);
        }

        String settings() {
            ObjectNode json = MAPPER.createObjectNode();
            json.put("role", role).put("instance", name).put("zone", zone);
            if (role.equals("gateway")) {
                json.put("caller", ip + ":" + callerPort).put("ready", ip + ":" + readyPort);
                json.put("unrepeatableReuseMs", 200);
            } else {
                json.putObject("spool").put("folder", disk.toString()).put("losses", lossesAllowed);
            }
            json.put("internal", ip + ":" + internalPort);
            ArrayNode seeds = json.putArray("seeds");
            nodes.values().stream()
                    .filter(each -> each.role.equals("gateway"))
                    .limit(3)
                    .forEach(each -> seeds.add(each.ip + ":" + readyPort));
            json.putObject("store").put("address", "127.0.0.1:" + storePort);
            json.put("firstStart", isFirstStart).put("graceMs", 8000);
            return json.toString();
        }

        /** SIGKILL. */
        void kill() throws InterruptedException {
            note("SIGKILL " + name);
            process.destroyForcibly().waitFor();
        }

        void signal(String signal) throws Exception {
            note(signal + " " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        /** The disk is lost: the folder is empty afterwards. */
        void wipe() throws IOException {
            try (Stream<Path> files = Files.walk(disk)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
            note("disk of " + name + " lost");
        }
    }

    private String runLine(String role) throws IOException {
        String toml = Files.readString(root.resolve("deploy/system.toml"));
        Matcher matcher =
                Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]*)\"").matcher(toml);
        if (!matcher.find()) {
            throw new IOException("no run line of " + role);
        }
        return matcher.group(1);
    }

    Node gateway(String name, String zone, int host) {
        return nodes.computeIfAbsent(name, key -> new Node(name, "gateway", zone, net + host));
    }

    Node worker(String name, String zone, int host) {
        return nodes.computeIfAbsent(name, key -> new Node(name, "worker", zone, net + host));
    }

    void startAll() throws IOException {
        for (Node node : nodes.values()) {
            node.start();
        }
    }

    boolean isReady(Node gateway) {
        try {
            return request(gateway.ip, readyPort, "GET", "/ready", Map.of(), new byte[0], 1000).status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until the gateways are ready and all processes know each other. */
    void awaitReady() throws IOException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(25);
        for (Node node : nodes.values()) {
            while (node.role.equals("gateway") && !isReady(node)) {
                if (System.nanoTime() > deadline) {
                    throw new IOException(node.name + " does not become ready");
                }
                sleep(100);
            }
        }
        sleep(4000);
        note("all ready");
    }

    /** Also used if this process is ended before the case is over. */
    private void endProcesses() {
        nodes.values().stream()
                .filter(node -> node.process != null)
                .forEach(node -> node.process.destroyForcibly());
    }

    @Override
    public void close() {
        endProcesses();
        for (Node node : nodes.values()) {
            try {
                if (node.process != null) {
                    node.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } catch (IOException e) {
                note("folder not removed");
            }
        } else {
            note("logs in the folder of KEEP");
            System.err.println(folder);
        }
        record.close();
    }

    // ---- HTTP

    static final class Message {
        String first = "";
        int status;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                bytes.write(next);
            }
            next = in.read();
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a head; null at the end of the connection. */
    static Message head(InputStream in) throws IOException {
        Message message = new Message();
        message.first = line(in);
        if (message.first == null) {
            return null;
        }
        for (String next = line(in); next != null && !next.isEmpty(); next = line(in)) {
            int colon = next.indexOf(':');
            message.headers.put(next.substring(0, colon).trim(), next.substring(colon + 1).trim());
        }
        return message;
    }

    static void body(InputStream in, Message message) throws IOException {
        String length = message.headers.get("content-length");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(message.headers.get("transfer-encoding"))) {
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new IOException("cut inside the body");
                }
                int count = Integer.parseInt(size.split(";")[0].trim(), 16);
                byte[] chunk = in.readNBytes(count);
                if (chunk.length < count) {
                    throw new IOException("cut inside a chunk");
                }
                bytes.write(chunk);
                line(in);
                if (count == 0) {
                    break;
                }
            }
        } else if (length != null) {
            int count = Integer.parseInt(length);
            byte[] read = in.readNBytes(count);
            if (read.length < count) {
                throw new IOException("cut inside the body");
            }
            bytes.write(read);
        }
        message.body = bytes.toByteArray();
    }

    static Message request(
            String host, int port, String method, String path, Map<String, String> headers, byte[] body, int timeoutMs)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), 1000);
            socket.setSoTimeout(timeoutMs);
            send(socket.getOutputStream(), method, path, headers, body);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Message answer = head(in);
            if (answer == null) {
                throw new IOException("closed without an answer");
            }
            answer.status = Integer.parseInt(answer.first.split(" ")[1]);
            body(in, answer);
            return answer;
        }
    }

    static void send(OutputStream out, String method, String path, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (!headers.containsKey("Host")) {
            head.append("Host: ").append(HOST).append("\r\n");
        }
        if (body.length > 0) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    static byte[] answer(int status, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Answer\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(body);
        return all.toByteArray();
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ---- clients of batch jobs

    Map<String, String> clientHeaders(String attempt) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("Authorization", "Bearer " + KEY);
        if (attempt != null) {
            headers.put("Sardinelift-Attempt-Id", attempt);
        }
        return headers;
    }

    String newId() {
        return String.format("%016x", random.nextLong());
    }

    byte[] jobBody(List<String> items, int events, int bodyBytes) {
        ObjectNode json = MAPPER.createObjectNode();
        ArrayNode array = json.putArray("items");
        for (String item : items) {
            ObjectNode each = array.addObject();
            each.put("id", item).put("path", "/notices/" + events + "/" + item);
            each.putObject("headers")
                    .put("Sardinelift-Model", "m")
                    .put("Sardinelift-Token-Count", "250,200")
                    .put("Sardinelift-Prompt-Prefix", item + ":250");
            byte[] bytes = new byte[bodyBytes];
            random.nextBytes(bytes);
            each.put("body", Base64.getEncoder().encodeToString(bytes)).put("tokens", 450);
        }
        return json.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** One attempt of a call about a batch job; status 0 if there was no answer. */
    Message jobCall(Node gateway, String method, String path, String attempt, byte[] body) {
        Message answer = new Message();
        try {
            Map<String, String> headers = clientHeaders(attempt);
            if (body.length > 0) {
                headers.put("Content-Type", "application/json");
            }
            answer = request(gateway.ip, callerPort, method, path, headers, body, 4000);
        } catch (IOException e) {
            answer.first = String.valueOf(e.getMessage());
        }
        String text = answer.text();
        note(
                "client: %s %s%s at %s -> %s %s"
                        .formatted(
                                method,
                                path,
                                attempt == null ? "" : " job " + attempt,
                                gateway.name,
                                answer.status == 0 ? "no answer (" + answer.first + ")" : answer.status,
                                text.length() > 240 ? text.substring(0, 240) + "..." : text));
        return answer;
    }

    // ---- the platform's store

    final class Store {
        final Map<String, TreeMap<String, ObjectNode>> kinds = new TreeMap<>();
        final List<Object[]> history = new ArrayList<>();
        final ServerSocket socket;
        final int port;
        long revision = 100;
        final Set<Integer> refusedPorts = ConcurrentHashMap.newKeySet();
        volatile boolean isDown;

        Store() throws IOException {
            socket = listen();
            port = socket.getLocalPort();
        }

        /** A further port of the same store, which may be refused for the process that uses it. */
        int newPort() throws IOException {
            return listen().getLocalPort();
        }

        private ServerSocket listen() throws IOException {
            ServerSocket server = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
            daemon(
                    () -> {
                        while (true) {
                            try {
                                Socket each = server.accept();
                                daemon(() -> serve(each, server.getLocalPort()));
                            } catch (IOException e) {
                                return;
                            }
                        }
                    });
            return server;
        }

        private boolean refuses(int at) {
            return isDown || refusedPorts.contains(at);
        }

        private void serve(Socket socket, int at) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    Message call = head(in);
                    if (call == null) {
                        return;
                    }
                    body(in, call);
                    sleep(4);
                    byte[] reply =
                            refuses(at)
                                    ? json(503, MAPPER.createObjectNode())
                                    : handle(call, at);
                    socket.getOutputStream().write(reply);
                    socket.getOutputStream().flush();
                }
            } catch (IOException | InterruptedException e) {
                // The caller has gone.
            }
        }

        private byte[] json(int status, JsonNode body) {
            return answer(
                    status,
                    Map.of("Content-Type", "application/json"),
                    body.toString().getBytes(StandardCharsets.UTF_8));
        }

        private synchronized byte[] handle(Message call, int at) throws IOException, InterruptedException {
            String[] words = call.first.split(" ");
            String[] parts = words[1].split("\\?")[0].split("/");
            Map<String, String> query = new TreeMap<>();
            if (words[1].contains("?")) {
                for (String each : words[1].substring(words[1].indexOf('?') + 1).split("&")) {
                    String[] pair = each.split("=", 2);
                    query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
                }
            }
            String kind = URLDecoder.decode(parts[2], StandardCharsets.UTF_8);
            String name = parts.length > 3 ? URLDecoder.decode(parts[3], StandardCharsets.UTF_8) : "";
            TreeMap<String, ObjectNode> objects = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
            ObjectNode stored = objects.get(name);
            switch (words[0]) {
                case "GET":
                    if (query.containsKey("watch")) {
                        return watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.get("waitMs")), at);
                    }
                    if (!name.isEmpty()) {
                        return stored == null ? json(404, MAPPER.createObjectNode()) : json(200, stored);
                    }
                    return list(objects, query.getOrDefault("after", ""));
                case "POST": {
                    ObjectNode sent = (ObjectNode) MAPPER.readTree(call.body);
                    String created = sent.path("metadata").path("name").asText();
                    if (objects.containsKey(created)) {
                        return json(409, objects.get(created));
                    }
                    return json(200, put(kind, created, sent.get("spec")));
                }
                case "PUT": {
                    if (stored == null) {
                        return json(404, MAPPER.createObjectNode());
                    }
                    ObjectNode sent = (ObjectNode) MAPPER.readTree(call.body);
                    JsonNode expected = sent.path("metadata").path("revision");
                    if (expected.isNumber() && expected.asLong() != stored.path("metadata").path("revision").asLong()) {
                        return json(409, stored);
                    }
                    if (parts.length > 4) {
                        stored.set("status", sent.get("status"));
                        return json(200, put(kind, name, stored.get("spec")));
                    }
                    return json(200, put(kind, name, sent.get("spec")));
                }
                default: {
                    if (stored == null) {
                        return json(404, MAPPER.createObjectNode());
                    }
                    String expected = query.get("revision");
                    if (expected != null && Long.parseLong(expected) != stored.path("metadata").path("revision").asLong()) {
                        return json(409, stored);
                    }
                    remove(kind, name);
                    return json(200, stored);
                }
            }
        }

        private byte[] list(TreeMap<String, ObjectNode> objects, String after) {
            ObjectNode body = MAPPER.createObjectNode();
            ArrayNode items = body.putArray("items");
            var rest = objects.tailMap(after, false).values();
            long bytes = 0;
            int count = 0;
            for (ObjectNode each : rest) {
                if (count > 0 && (count == 500 || bytes > 1_000_000)) {
                    break;
                }
                items.add(each);
                bytes += each.toString().length();
                count++;
            }
            body.put("hasMore", count < rest.size()).put("asOf", revision);
            return json(200, body);
        }

        private byte[] watch(String kind, long after, long waitMs, int at) throws InterruptedException {
            long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
            while (true) {
                if (refuses(at)) {
                    return json(503, MAPPER.createObjectNode());
                }
                ObjectNode body = MAPPER.createObjectNode();
                ArrayNode events = body.putArray("events");
                for (int i = history.size() - 1; i >= 0 && (long) history.get(i)[1] > after; i--) {
                    Object[] change = history.get(i);
                    if (change[0].equals(kind)) {
                        ObjectNode event = MAPPER.createObjectNode();
                        event.put("deleted", (boolean) change[3]).set("object", (ObjectNode) change[2]);
                        events.insert(0, event);
                    }
                }
                long left = deadline - System.nanoTime();
                if (!events.isEmpty() || left <= 0) {
                    body.put("asOf", revision);
                    return json(200, body);
                }
                wait(Math.max(1, Math.min(50, left / 1_000_000)));
            }
        }

        synchronized ObjectNode put(String kind, String name, JsonNode spec) {
            TreeMap<String, ObjectNode> objects = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
            ObjectNode before = objects.get(name);
            revision++;
            ObjectNode object = MAPPER.createObjectNode();
            object.putObject("metadata")
                    .put("name", name)
                    .put("revision", revision)
                    .put("created", before == null ? revision : before.path("metadata").path("created").asLong())
                    .put("deleting", false)
                    .putArray("finalizers");
            object.set("spec", spec);
            object.set("status", before == null ? null : before.get("status"));
            objects.put(name, object);
            history.add(new Object[] {kind, revision, object, false});
            notifyAll();
            return object;
        }

        synchronized void remove(String kind, String name) {
            ObjectNode object = kinds.computeIfAbsent(kind, key -> new TreeMap<>()).remove(name);
            if (object != null) {
                revision++;
                ObjectNode gone = object.deepCopy();
                ((ObjectNode) gone.get("metadata")).put("revision", revision);
                history.add(new Object[] {kind, revision, gone, true});
                notifyAll();
            }
        }

        synchronized List<String> names(String prefix) {
            List<String> found = new ArrayList<>();
            kinds.forEach(
                    (kind, objects) ->
                            objects.keySet().stream()
                                    .filter(name -> name.startsWith(prefix))
                                    .forEach(name -> found.add(kind + "/" + name)));
            return found;
        }

        void setDown(boolean down) {
            isDown = down;
            note(down ? "the store answers 503" : "the store is back");
        }
    }

    // ---- configuration

    /** Writes a configuration with a resumable stream route and a batch route. */
    void configure(int version) {
        ObjectNode config = MAPPER.createObjectNode().put("version", version);
        ArrayNode routes = config.putArray("routes");
        routes.addObject()
                .put("name", "r-check").put("host", HOST).put("pathPrefix", "/check/").put("kind", "stream")
                .put("timeoutMs", 5000).put("sloMs", 300).put("priority", 0).put("service", SERVICE)
                .put("maxAttempts", 2).put("public", false).put("sticky", true).put("resumable", true)
                .put("gapAimMs", 400);
        routes.addObject()
                .put("name", "r-list").put("host", HOST).put("pathPrefix", "/list/").put("kind", "stream")
                .put("timeoutMs", 5000).put("sloMs", 300).put("priority", 0).put("service", SERVICE)
                .put("maxAttempts", 1).put("public", false).put("sticky", true).put("resumable", false)
                .put("gapAimMs", 400);
        routes.addObject()
                .put("name", "r-notice").put("host", HOST).put("pathPrefix", "/notices/").put("kind", "batch")
                .put("timeoutMs", 15000).put("sloMs", 400).put("priority", 2).put("service", SERVICE)
                .put("maxAttempts", 3).put("public", false).put("sticky", true).put("resumable", true)
                .put("completionTargetMs", 18000).put("retentionS", 60);
        config.putArray("services").addObject()
                .put("name", SERVICE).put("healthPath", "/health").put("maxConns", 370)
                .put("protocol", "h1").put("tls", false)
                .putObject("engine").put("slots", 8).put("kvCapacityTokens", 147261);
        config.putObject("limits")
                .put("maxHeaderBytes", 16384).put("maxBodyBytes", 4194304)
                .put("headerTimeoutMs", 3000).put("idleTimeoutMs", 15000);
        ObjectNode tenant = config.putArray("tenants").addObject();
        tenant.put("name", TENANT).putArray("apiKeys").add(KEY);
        tenant.put("priority", 1).put("ratePerS", 0).put("burst", 0);
        store.put("config", "main", config);
        note("configuration version " + version + " acknowledged");
    }

    // ---- replicas

    /** A model replica; each start is an incarnation. */
    final class Replica {
        final String id;
        final String zone;
        final String ip;
        final int slots;
        String version;
        int eventMs = 20;
        int port;
        long born;
        long seq;
        volatile int life;
        /** Called when a request that crashes replicas begins to run here. */
        volatile Runnable onCrashRequest;
        ServerSocket socket;
        final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Replica(String id, String zone, String ip, int slots, String version) {
            this.id = id;
            this.zone = zone;
            this.ip = ip;
            this.slots = slots;
            this.version = version;
        }

        void start() throws IOException {
            life++;
            born = System.currentTimeMillis();
            seq = 0;
            socket = bind();
            port = socket.getLocalPort();
            int current = life;
            ServerSocket listening = socket;
            daemon(
                    () -> {
                        while (current == life) {
                            try {
                                Socket each = listening.accept();
                                open.add(each);
                                daemon(() -> serve(each, current));
                            } catch (IOException e) {
                                return;
                            }
                        }
                    });
            daemon(
                    () -> {
                        while (current == life) {
                            beat("ready");
                            Bed.sleep(1200);
                        }
                    });
            note("replica " + id + " starts, version " + version + ", at " + ip + ":" + port);
        }

        /** Binds the address; the sockets of the life before may take a moment to close. */
        private ServerSocket bind() throws IOException {
            for (int i = 0; ; i++) {
                ServerSocket next = new ServerSocket();
                next.setReuseAddress(true);
                try {
                    next.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
                    return next;
                } catch (IOException e) {
                    next.close();
                    if (i == 50) {
                        throw e;
                    }
                    Bed.sleep(20);
                }
            }
        }

        /** Writes the replica's entry, unless the store doesn't answer. */
        void beat(String state) {
            if (store.isDown) {
                return;
            }
            ObjectNode entry = MAPPER.createObjectNode();
            entry.put("service", SERVICE).put("address", ip + ":" + port).put("zone", zone)
                    .put("version", version).put("slots", slots).put("state", state)
                    .put("coldLeftMs", 0).put("stage", "colocated").put("seq", ++seq).put("born", born);
            entry.putArray("models").addObject().put("name", "m").put("version", 1).putArray("adapters");
            store.put("servers", id, entry);
        }

        /** Crashes: its connections are reset, and nothing is written to the store. */
        void crash() throws IOException {
            life++;
            socket.close();
            for (Socket each : open) {
                try {
                    each.setSoLinger(true, 0);
                    each.close();
                } catch (IOException e) {
                    // It was closed by the caller.
                }
            }
            open.clear();
            note("replica " + id + " crashes");
        }

        private void serve(Socket connection, int current) {
            try (connection) {
                connection.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(connection.getInputStream());
                OutputStream out = connection.getOutputStream();
                while (current == life) {
                    Message call = head(in);
                    if (call == null) {
                        return;
                    }
                    body(in, call);
                    if (!handle(call, out, current)) {
                        return;
                    }
                }
            } catch (IOException e) {
                // The caller has gone, or this replica has crashed.
            } finally {
                open.remove(connection);
            }
        }

        private boolean handle(Message call, OutputStream out, int current) throws IOException {
            String[] words = call.first.split(" ");
            if (words[0].equals("GET")) {
                byte[] report =
                        ("{\"stage\":\"colocated\",\"models\":[],\"busy\":false,\"seq\":0,\"waiting\":0,\"running\":0,"
                                        + "\"kvUsed\":0,\"kvTotal\":147261,\"handles\":0,\"born\":" + born + "}")
                                .getBytes(StandardCharsets.UTF_8);
                out.write(answer(200, Map.of("Sardinelift-Instance-Id", id, "Content-Type", "application/json"), report));
                return true;
            }
            String attempt = call.headers.get("Sardinelift-Attempt-Id");
            String expected = call.headers.get("Sardinelift-Expect-Instance");
            if (expected != null && !expected.equals(id)) {
                out.write(answer(421, Map.of("Sardinelift-Instance-Id", id), new byte[0]));
                note("replica " + id + " rejects " + attempt + " with 421");
                return true;
            }
            String[] path = words[1].split("/");
            int events = Integer.parseInt(path[2]);
            String last = call.headers.get("Last-Event-Id");
            int from = last == null ? 0 : Integer.parseInt(last);
            String run =
                    "replica %s version %s runs %s %s for %s, after event %d"
                            .formatted(id, version, attempt, words[1], call.headers.get("Sardinelift-Tenant"), from);
            note(run);
            synchronized (runs) {
                runs.add(run);
            }
            if (onCrashRequest != null && new String(call.body, StandardCharsets.ISO_8859_1).contains("CRASH")) {
                Bed.sleep(50);
                if (current == life) {
                    onCrashRequest.run();
                }
                return false;
            }
            String stamp = Integer.toHexString(random.nextInt()) + ".0";
            out.write(
                    ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nSardinelift-Attempt-Id: " + attempt
                                    + "\r\nSardinelift-Server-Stamp: " + stamp
                                    + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            for (int i = from + 1; i <= events && current == life; i++) {
                Bed.sleep(eventMs);
                byte[] event = ("id: " + i + "\ndata: " + version + ":" + i + "\n\n").getBytes(StandardCharsets.UTF_8);
                out.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.write(event);
                out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
            if (current != life) {
                return false;
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            return true;
        }
    }

    Replica replica(String id, String zone, int host, int slots, String version) throws IOException {
        Replica replica = new Replica(id, zone, net + host, slots, version);
        replicas.put(id, replica);
        replica.start();
        return replica;
    }

    long runsOf(String item) {
        synchronized (runs) {
            return runs.stream().filter(run -> run.contains(item)).count();
        }
    }
}
