package org.sardinelift.system;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.awaitility.Awaitility;
import org.sardinelift.core.catalog.KeyDigest;

/** A small fleet of separate processes on loopback: platform, targets, companions, entries. */
final class Fleet implements AutoCloseable {
    static final String MODEL = "registry-llm";
    static final String KEY = "sl_k1_secretone";
    static final String OTHER_KEY = "sl_k2_secrettwo";
    private static final String PEPPER = "only for tests";
    private static final int SLOTS = 1_000;
    private static final int HEAP_MB = 128;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

    final ObjectMapper mapper = new ObjectMapper();
    final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    final Path folder;
    final ChildProcess platform;
    final Map<String, ChildProcess> processes = new LinkedHashMap<>();
    private final List<AutoCloseable> resources = new ArrayList<>();
    private String zone = "zone-1";

    private Fleet(Path folder, ChildProcess platform) {
        this.folder = folder;
        this.platform = platform;
    }

    /** Starts the platform and writes a configuration of two teams, a model and a plain service. */
    static Fleet start() throws IOException {
        Path folder = Files.createTempDirectory("fleet");
        ChildProcess platform =
                ChildProcess.start(folder.resolve("platform.log"), HEAP_MB, "standins", "platform");
        Fleet fleet = new Fleet(folder, platform);
        fleet.putObject("template/standard", templateJson(1_000, 1_000));
        fleet.putObject("team/large", "{\"template\":\"standard\"}");
        fleet.putObject("team/small", "{\"template\":\"standard\"}");
        fleet.putObject("service/registry", "{\"engine\":true,\"models\":[\"" + MODEL + "\"]}");
        fleet.putObject("service/tags", "{\"engine\":false,\"repeatableMethods\":[\"GET\"]}");
        fleet.putObject("key/k1", keyJson("large", KEY));
        fleet.putObject("key/k2", keyJson("small", OTHER_KEY));
        return fleet;
    }

    static String templateJson(int ratePerSecond, int burst) {
        return "{\"ratePerSecond\":"
                + ratePerSecond
                + ",\"burst\":"
                + burst
                + ",\"models\":[\""
                + MODEL
                + "\"],\"services\":[\"tags\"]}";
    }

    private static String keyJson(String team, String key) {
        String digest = KeyDigest.of(PEPPER).digest(key);
        return "{\"team\":\"" + team + "\",\"digest\":\"" + digest + "\"}";
    }

    /** Starts engines with their companions and two entries, and waits until all entries serve. */
    void startServing(int engines, String... options) throws IOException {
        for (int i = 1; i <= engines; i++) {
            startTarget("engine-" + i, "registry", true, options);
        }
        startEntry("entry-1");
        startEntry("entry-2");
        awaitServing();
    }

    /** Sets the availability zone of the processes started from now on. */
    void useZone(String name) {
        zone = name;
    }

    /** Starts a stand-in target and its companion, {@code c-NAME}. */
    void startTarget(String name, String service, boolean engine, String... options)
            throws IOException {
        List<String> args = new ArrayList<>();
        args.add(engine ? "engine" : "plain");
        if (engine) {
            args.addAll(List.of("--models", MODEL));
        }
        args.addAll(List.of(options));
        ChildProcess target =
                ChildProcess.start(log(name), HEAP_MB, "standins", args.toArray(String[]::new));
        processes.put(name, target);
        startCompanion(name, service, engine, target.port("address"));
    }

    private void startCompanion(String target, String service, boolean engine, int port)
            throws IOException {
        ObjectNode settings = baseSettings("companion", "c-" + target);
        ObjectNode node = settings.putObject("target");
        node.put("name", target).put("port", port).put("service", service).put("engine", engine);
        node.put("slots", SLOTS);
        if (engine) {
            node.putArray("models").add(MODEL);
        }
        startProcess("c-" + target, settings);
        register("c-" + target, "companion", target, processes.get("c-" + target).port("peer"));
    }

    /** Starts an entry and registers it with the platform. */
    void startEntry(String name) throws IOException {
        ObjectNode settings = baseSettings("entry", name);
        settings.put("keyPepper", PEPPER);
        settings.putObject("drain").put("delayMs", 200);
        settings.putObject("orders")
                .put("periodMs", 200)
                .put("leaseValidMs", 1_500)
                .put("leaseTimeoutMs", 3_000)
                .put("loadsPerMinute", 600);
        startProcess(name, settings);
        register(name, "entry", "", processes.get(name).port("peer"));
    }

    private ObjectNode baseSettings(String role, String name) {
        ObjectNode settings = mapper.createObjectNode();
        settings.put("role", role).put("instance", name).put("zone", zone);
        settings.putObject("platform").put("port", platform.port("address"));
        return settings;
    }

    private void startProcess(String name, ObjectNode settings) throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings.toString());
        processes.put(
                name,
                ChildProcess.start(
                        log(name), HEAP_MB, "sardinelift", "--settings", file.toString()));
    }

    Path log(String name) {
        return folder.resolve(name + ".log");
    }

    /** Registers an instance with the platform. */
    void register(String name, String role, String target, int port) throws IOException {
        ObjectNode instance = mapper.createObjectNode();
        instance.put("name", name).put("role", role).put("zone", zone);
        instance.put("host", "127.0.0.1").put("port", port).put("target", target);
        ObjectNode change = mapper.createObjectNode();
        change.putArray("register").add(instance);
        callPlatformAdmin("instances", change.toString());
    }

    /** Removes an instance from the platform's list. */
    void deregister(String name) throws IOException {
        callPlatformAdmin("instances", "{\"deregister\":[\"" + name + "\"]}");
    }

    /** Sets faults of the platform stand-in. */
    void setPlatformFaults(String json) throws IOException {
        callPlatformAdmin("faults", json);
    }

    private void callPlatformAdmin(String path, String json) throws IOException {
        String url = "http://127.0.0.1:" + platform.port("address") + "/admin/" + path;
        requireStatus(200, send(request(url).POST(HttpRequest.BodyPublishers.ofString(json))));
    }

    /** Writes a configuration object, whatever its current version. */
    void putObject(String path, String json) throws IOException {
        String url = "http://127.0.0.1:" + platform.port("address") + "/objects/" + path;
        HttpResponse<String> current = send(request(url).GET());
        long version =
                current.statusCode() == 200
                        ? mapper.readTree(current.body()).path("version").asLong()
                        : 0;
        requireStatus(
                200,
                send(
                        request(url + "?ifVersion=" + version)
                                .PUT(HttpRequest.BodyPublishers.ofString(json))));
    }

    /** Withdraws {@link #KEY}. */
    void withdrawKey() throws IOException {
        String key = keyJson("large", KEY);
        putObject("key/k1", key.substring(0, key.length() - 1) + ",\"withdrawn\":true}");
    }

    /** Waits until every entry reports ready to the balancer and serves the model. */
    void awaitServing() {
        entryNames()
                .forEach(
                        name ->
                                Awaitility.await(name)
                                        .atMost(START_TIMEOUT)
                                        .ignoreExceptions()
                                        .until(() -> isReady(name) && isServing(name)));
    }

    /** Returns whether an entry may send calls to the target of a companion. */
    boolean isUsable(String entry, String companion) throws IOException {
        String url = "http://127.0.0.1:" + processes.get(entry).port("operators");
        String body = send(request(url + "/targets").GET()).body();
        for (JsonNode target : parseJson(body).path("targets")) {
            if (target.path("companion").asText().equals(companion)) {
                return target.path("usable").asBoolean();
            }
        }
        return false;
    }

    private boolean isReady(String entry) throws IOException {
        String url = "http://127.0.0.1:" + processes.get(entry).port("operators") + "/readyz";
        return send(request(url).GET()).statusCode() == 200;
    }

    private boolean isServing(String entry) throws IOException {
        return chat(entry, KEY, "ready?", 1).statusCode() == 200;
    }

    private List<String> entryNames() {
        return processes.entrySet().stream()
                .filter(process -> process.getValue().readyField("role").equals("entry"))
                .map(Map.Entry::getKey)
                .toList();
    }

    String callerUrl(String entry, String path) {
        return "http://127.0.0.1:" + processes.get(entry).port("caller") + path;
    }

    static HttpRequest.Builder request(String url) {
        return HttpRequest.newBuilder(URI.create(url)).timeout(Duration.ofSeconds(60));
    }

    HttpRequest.Builder callerRequest(String entry, String key, String path) {
        return request(callerUrl(entry, path)).header("Authorization", "Bearer " + key);
    }

    /** Sends a chat request and returns the unstreamed answer. */
    HttpResponse<String> chat(String entry, String key, String prompt, int tokens)
            throws IOException {
        return send(chatRequest(entry, key, prompt, tokens, false));
    }

    HttpRequest.Builder chatRequest(
            String entry, String key, String prompt, int tokens, boolean stream) {
        return callerRequest(entry, key, "/v1/chat/completions")
                .POST(HttpRequest.BodyPublishers.ofString(chatBody(prompt, tokens, stream)));
    }

    String chatBody(String prompt, int tokens, boolean stream) {
        ObjectNode body = mapper.createObjectNode();
        body.put("model", MODEL).put("max_tokens", tokens).put("stream", stream);
        body.putArray("messages").addObject().put("role", "user").put("content", prompt);
        return body.toString();
    }

    /** Returns the lines of a job of chat items. */
    String jobLines(int items, int tokens) {
        StringBuilder lines = new StringBuilder();
        for (int i = 0; i < items; i++) {
            ObjectNode line = mapper.createObjectNode();
            line.put("custom_id", "item-" + i).put("method", "POST");
            line.put("url", "/v1/chat/completions");
            line.set("body", parseJson(chatBody("notice " + i, tokens, false)));
            lines.append(line).append('\n');
        }
        return lines.toString();
    }

    /** Submits a job and returns the response. */
    HttpResponse<String> submit(String entry, String jobKey, String lines) throws IOException {
        return send(
                callerRequest(entry, KEY, "/v1/batches")
                        .header("Job-Key", jobKey)
                        .POST(HttpRequest.BodyPublishers.ofString(lines)));
    }

    /** Waits until a job has a status and returns the body of the status response. */
    JsonNode awaitJob(String entry, String id, String status) {
        return Awaitility.await(id + " " + status)
                .atMost(Duration.ofSeconds(60))
                .pollInterval(Duration.ofMillis(100))
                .ignoreExceptions()
                .until(
                        () ->
                                parseJson(
                                        send(callerRequest(entry, KEY, "/v1/batches/" + id).GET())
                                                .body()),
                        body -> body.path("status").asText().equals(status));
    }

    /** Fetches the results of a job, one JSON object per item. */
    List<JsonNode> results(String entry, String id) throws IOException {
        return send(callerRequest(entry, KEY, "/v1/batches/" + id + "/results").GET())
                .body()
                .lines()
                .map(this::parseJson)
                .toList();
    }

    /** Fetches the JSON document at a path of a stand-in target. */
    JsonNode fetchFromTarget(String target, String path) throws IOException {
        String url = "http://127.0.0.1:" + processes.get(target).port("address") + path;
        return parseJson(send(request(url).GET()).body());
    }

    JsonNode parseJson(String json) {
        try {
            return mapper.readTree(json);
        } catch (IOException e) {
            throw new IllegalStateException(json, e);
        }
    }

    HttpResponse<String> send(HttpRequest.Builder request) throws IOException {
        try {
            return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private static void requireStatus(int status, HttpResponse<String> answer) {
        if (answer.statusCode() != status) {
            throw new IllegalStateException(answer.statusCode() + " " + answer.body());
        }
    }

    /** Closes a resource when the fleet is closed. */
    <T extends AutoCloseable> T closeWithFleet(T resource) {
        resources.add(resource);
        return resource;
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
        processes.values().forEach(ChildProcess::close);
        platform.close();
    }
}
