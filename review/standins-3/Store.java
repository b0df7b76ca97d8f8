import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: kinds of named objects, lists with pages, watches. */
final class Store implements AutoCloseable {
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;
    private static final int VALUE_BYTES = 1_048_576;

    private final Map<String, TreeMap<String, Entry>> kinds = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final ServerSocket server;
    private long revision = 100;
    private volatile String fault = "";

    private static final class Entry {
        final Map<String, Object> metadata = new LinkedHashMap<>();
        Object spec;
        Object status;

        String json() {
            Map<String, Object> all = new LinkedHashMap<>();
            all.put("metadata", metadata);
            all.put("spec", spec);
            if (status != null) {
                all.put("status", status);
            }
            return Json.write(all);
        }
    }

    private record Event(String kind, long revision, String object, boolean deleted) {}

    Store() throws Exception {
        server = Http.serve(0, this::handle);
    }

    int port() {
        return server.getLocalPort();
    }

    /** Sets the fault of all calls: "busy" refuses them, "silent" leaves them unanswered. */
    void setFault(String newFault) {
        fault = newFault;
    }

    synchronized void put(String kind, String name, Object spec) {
        Entry entry = kinds.computeIfAbsent(kind, key -> new TreeMap<>()).get(name);
        if (entry == null) {
            entry = create(kind, name);
        }
        entry.spec = spec;
        changed(kind, entry, false);
    }

    synchronized int count(String kind) {
        return kinds.getOrDefault(kind, new TreeMap<>()).size();
    }

    synchronized void remove(String kind, String name) {
        Entry entry = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (entry != null) {
            changed(kind, entry, true);
        }
    }

    private Entry create(String kind, String name) {
        Entry entry = new Entry();
        entry.metadata.put("name", name);
        entry.metadata.put("created", System.currentTimeMillis());
        entry.metadata.put("finalizers", new ArrayList<>());
        kinds.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, entry);
        return entry;
    }

    private void changed(String kind, Entry entry, boolean deleted) {
        revision++;
        entry.metadata.put("revision", revision);
        history.add(new Event(kind, revision, entry.json(), deleted));
        notifyAll();
    }

    private void handle(Http.Message request, OutputStream out) throws Exception {
        Thread.sleep(4);
        if (fault.equals("silent")) {
            Thread.sleep(60_000);
        }
        if (fault.equals("busy")) {
            Http.respondJson(out, 503, Map.of());
            return;
        }
        String[] parts = request.path().split("/");
        String kind = URLDecoder.decode(parts[2], StandardCharsets.UTF_8);
        String name =
                parts.length > 3 ? URLDecoder.decode(parts[3], StandardCharsets.UTF_8) : null;
        if (request.method.equals("GET") && name == null && request.query("watch") != null) {
            watch(request, kind, out);
            return;
        }
        int status;
        String body;
        synchronized (this) {
            TreeMap<String, Entry> objects = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
            Entry entry = name == null ? null : objects.get(name);
            if (request.method.equals("GET") && name == null) {
                status = 200;
                body = page(objects, request.query("after"));
            } else if (request.method.equals("GET")) {
                status = entry == null ? 404 : 200;
                body = entry == null ? "{\"asOf\":" + revision + "}" : entry.json();
            } else if (request.body.length > VALUE_BYTES) {
                status = 413;
                body = "{}";
            } else if (request.method.equals("POST")) {
                Map<String, Object> sent = Json.object(Json.parse(request.text()));
                name = (String) Json.object(sent.get("metadata")).get("name");
                entry = objects.get(name);
                status = entry == null ? 201 : 409;
                if (entry == null) {
                    entry = create(kind, name);
                    entry.spec = sent.get("spec");
                    changed(kind, entry, false);
                }
                body = entry.json();
            } else if (entry == null) {
                status = 404;
                body = "{}";
            } else {
                Map<String, Object> sent =
                        request.body.length == 0
                                ? Map.of()
                                : Json.object(Json.parse(request.text()));
                Object wanted = Json.object(sent.get("metadata")).get("revision");
                if (wanted == null && request.query("revision") != null) {
                    wanted = Long.parseLong(request.query("revision"));
                }
                status = 200;
                if (wanted != null && !wanted.equals(entry.metadata.get("revision"))) {
                    status = 409;
                } else if (request.method.equals("DELETE")) {
                    objects.remove(name);
                    changed(kind, entry, true);
                } else if (parts.length > 4) {
                    entry.status = sent.get("status");
                    changed(kind, entry, false);
                } else if (!String.valueOf(entry.spec).equals(String.valueOf(sent.get("spec")))) {
                    entry.spec = sent.get("spec");
                    changed(kind, entry, false);
                }
                body = entry.json();
            }
        }
        Http.respond(
                out,
                status,
                Map.of("Content-Type", "application/json"),
                body.getBytes(StandardCharsets.UTF_8));
    }

    private String page(TreeMap<String, Entry> objects, String after) {
        StringBuilder items = new StringBuilder();
        int count = 0;
        boolean hasMore = false;
        for (Entry entry : (after == null ? objects : objects.tailMap(after, false)).values()) {
            if (count >= PAGE_ITEMS || items.length() >= PAGE_BYTES) {
                hasMore = true;
                break;
            }
            items.append(count++ == 0 ? "" : ",").append(entry.json());
        }
        return "{\"items\":[" + items + "],\"hasMore\":" + hasMore + ",\"asOf\":" + revision + "}";
    }

    private void watch(Http.Message request, String kind, OutputStream out) throws Exception {
        long after = Long.parseLong(request.query("watch"));
        String wait = request.query("waitMs");
        long deadline = System.currentTimeMillis() + (wait == null ? 0 : Long.parseLong(wait));
        StringBuilder events = new StringBuilder();
        long asOf;
        synchronized (this) {
            while (true) {
                asOf = revision;
                for (int i = firstAfter(after); i < history.size(); i++) {
                    Event event = history.get(i);
                    if (event.kind().equals(kind)) {
                        events.append(events.length() == 0 ? "" : ",")
                                .append("{\"object\":" + event.object())
                                .append(",\"deleted\":" + event.deleted() + "}");
                        if (events.length() >= PAGE_BYTES) {
                            asOf = event.revision();
                            break;
                        }
                    }
                }
                long left = deadline - System.currentTimeMillis();
                if (events.length() > 0 || left <= 0 || !fault.isEmpty()) {
                    break;
                }
                wait(left);
            }
        }
        String body = "{\"events\":[" + events + "],\"asOf\":" + asOf + "}";
        Http.respond(
                out,
                200,
                Map.of("Content-Type", "application/json"),
                body.getBytes(StandardCharsets.UTF_8));
    }

    private int firstAfter(long after) {
        int low = 0;
        int high = history.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (history.get(middle).revision() > after) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }

    @Override
    public void close() throws Exception {
        server.close();
    }
}
