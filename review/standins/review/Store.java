package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for the platform's metadata store: objects by kind and name, a revision counter,
 * conditional changes, lists by pages and watches. It keeps its history for 20 s.
 */
final class Store implements AutoCloseable {
    static final JsonMapper JSON = JsonMapper.builder().build();
    private static final int VALUE_BYTES = 1_048_576;
    private static final int PAGE_OBJECTS = 500;
    private static final int PAGE_BYTES = 1_000_000;
    private static final long HISTORY_MS = 20_000;

    private final Http.Server server;
    private final Record record;
    private final Map<String, TreeMap<String, ObjectNode>> kinds = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 100;
    private long forgottenUpTo = 100;
    private boolean isDown;

    private record Change(long at, long revision, String kind, ObjectNode object, boolean gone) {}

    Store(String host, int port, Record record) throws IOException {
        this.record = record;
        server = new Http.Server(host, port, this::handle);
    }

    int port() {
        return server.port();
    }

    /** While the store is down it answers each call with 503, and waiting watches are cut off. */
    synchronized void setDown(boolean down) {
        isDown = down;
        record.write("store " + (down ? "down: each call gets 503" : "up again"));
        notifyAll();
    }

    synchronized boolean isDown() {
        return isDown;
    }

    /** Writes an object as the operator or a replica does. */
    synchronized void put(String kind, String name, String spec) {
        try {
            ObjectNode object = kinds.computeIfAbsent(kind, key -> new TreeMap<>()).get(name);
            if (object == null) {
                object = newObject(name);
            }
            object.set("spec", JSON.readTree(spec));
            change(kind, name, object, false);
        } catch (IOException e) {
            throw new IllegalArgumentException(e);
        }
    }

    synchronized int count(String kind) {
        return kinds.getOrDefault(kind, new TreeMap<>()).size();
    }

    private ObjectNode newObject(String name) {
        ObjectNode object = JSON.createObjectNode();
        ObjectNode metadata = object.putObject("metadata");
        metadata.put("name", name).put("created", revision + 1);
        metadata.putArray("finalizers");
        metadata.put("deleting", false);
        object.putNull("status");
        return object;
    }

    private void change(String kind, String name, ObjectNode object, boolean gone) {
        revision++;
        ObjectNode copy = object.deepCopy();
        ((ObjectNode) copy.get("metadata")).put("revision", revision);
        TreeMap<String, ObjectNode> objects = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
        if (gone) {
            objects.remove(name);
        } else {
            objects.put(name, copy);
        }
        long now = System.currentTimeMillis();
        history.add(new Change(now, revision, kind, copy, gone));
        while (!history.isEmpty() && now - history.get(0).at() > HISTORY_MS) {
            forgottenUpTo = history.remove(0).revision();
        }
        notifyAll();
    }

    private record Answer(int status, String body) {}

    private void handle(Http.Message request, Http.Connection connection) throws IOException {
        String[] parts = request.path().split("/");
        String kind = decode(parts[2]);
        String name = parts.length > 3 ? decode(parts[3]) : "";
        Answer answer;
        synchronized (this) {
            if (isDown) {
                answer = new Answer(503, "{}");
            } else if (request.method().equals("GET")) {
                answer = get(request, kind, name);
            } else {
                answer = write(request, kind, name, parts.length > 4);
            }
        }
        connection.respond(
                answer.status(),
                Map.of("Content-Type", "application/json"),
                answer.body().getBytes(StandardCharsets.UTF_8));
    }

    private static String decode(String part) {
        return URLDecoder.decode(part, StandardCharsets.UTF_8);
    }

    private Answer get(Http.Message request, String kind, String name) {
        TreeMap<String, ObjectNode> objects = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
        if (!name.isEmpty()) {
            ObjectNode object = objects.get(name);
            return object == null
                    ? new Answer(404, JSON.createObjectNode().put("asOf", revision).toString())
                    : new Answer(200, object.toString());
        }
        return request.query("watch") == null ? list(request, objects) : watch(request, kind);
    }

    private Answer list(Http.Message request, TreeMap<String, ObjectNode> objects) {
        String after = request.query("after") == null ? "" : request.query("after");
        StringBuilder items = new StringBuilder();
        boolean hasMore = false;
        int count = 0;
        for (ObjectNode object : objects.tailMap(after, false).values()) {
            if (count == PAGE_OBJECTS || items.length() > PAGE_BYTES) {
                hasMore = true;
                break;
            }
            items.append(count++ == 0 ? "" : ",").append(object);
        }
        return new Answer(
                200,
                "{\"items\":[" + items + "],\"hasMore\":" + hasMore + ",\"asOf\":" + revision
                        + "}");
    }

    private Answer watch(Http.Message request, String kind) {
        long after = Long.parseLong(request.query("watch"));
        long until = System.currentTimeMillis() + Long.parseLong(request.query("waitMs"));
        while (true) {
            if (isDown) {
                return new Answer(503, "{}");
            }
            if (after < forgottenUpTo) {
                return new Answer(410, "{}");
            }
            ArrayNode events = JSON.createArrayNode();
            history.stream()
                    .filter(each -> each.revision() > after && each.kind().equals(kind))
                    .forEach(
                            each ->
                                    events.addObject()
                                            .put("deleted", each.gone())
                                            .set("object", each.object()));
            long left = until - System.currentTimeMillis();
            if (!events.isEmpty() || left <= 0) {
                ObjectNode body = JSON.createObjectNode();
                body.set("events", events);
                return new Answer(200, body.put("asOf", revision).toString());
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                return new Answer(503, "{}");
            }
        }
    }

    private Answer write(Http.Message request, String kind, String name, boolean isStatus) {
        JsonNode sent;
        try {
            sent = request.body().length == 0
                    ? JSON.createObjectNode()
                    : JSON.readTree(request.body());
        } catch (IOException e) {
            return new Answer(400, "{}");
        }
        if (sent.path("spec").toString().getBytes(StandardCharsets.UTF_8).length > VALUE_BYTES) {
            record.write("store refuses an object of kind " + kind + ": over valueBytes");
            return new Answer(413, "{}");
        }
        TreeMap<String, ObjectNode> objects = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
        if (request.method().equals("POST")) {
            String created = sent.path("metadata").path("name").asText();
            if (objects.containsKey(created)) {
                return new Answer(409, objects.get(created).toString());
            }
            ObjectNode object = newObject(created);
            object.set("spec", sent.path("spec"));
            change(kind, created, object, false);
            return new Answer(201, objects.get(created).toString());
        }
        ObjectNode stored = objects.get(name);
        if (stored == null) {
            return new Answer(404, "{}");
        }
        JsonNode inBody = sent.path("metadata").path("revision");
        String expected = inBody.isNumber() ? inBody.asText() : request.query("revision");
        if (expected != null
                && !expected.equals(stored.path("metadata").path("revision").asText())) {
            return new Answer(409, stored.toString());
        }
        boolean isDelete = request.method().equals("DELETE");
        if (!isDelete) {
            String field = isStatus ? "status" : "spec";
            if (stored.path(field).equals(sent.path(field))) {
                return new Answer(200, stored.toString());
            }
            stored = stored.deepCopy();
            stored.set(field, sent.path(field));
        }
        change(kind, name, stored, isDelete);
        return new Answer(200, isDelete ? "{}" : objects.get(name).toString());
    }

    @Override
    public void close() {
        server.close();
    }
}
