package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;

/** A client of batch jobs: submits one, reads its results, and tries again at the next gateway. */
final class Batch {
    private final Fleet fleet;
    private final Record record;
    private final int gateways;
    private int nextGateway;
    private int emptyPages;

    Batch(Fleet fleet, Record record, int gateways) {
        this.fleet = fleet;
        this.record = record;
        this.gateways = gateways;
    }

    /** Counts the answers without results for a position that had been read before. */
    int emptyPages() {
        return emptyPages;
    }

    static ObjectNode item(String id, byte[] body, int tokens) {
        ObjectNode item = Store.JSON.createObjectNode();
        item.put("id", id).put("path", "/pule252/3/" + id);
        item.putObject("headers")
                .put("Sardinelift-Model", "m")
                .put("Sardinelift-Token-Count", "350," + (tokens - 350))
                .put("Sardinelift-Prompt-Prefix", "9c2e41:100," + id + ":250");
        item.put("body", Base64.getEncoder().encodeToString(body)).put("tokens", tokens);
        return item;
    }

    private Http.Message call(
            String method, String uri, Map<String, String> headers, byte[] body)
            throws IOException {
        String host = fleet.gatewayHost(nextGateway++ % gateways);
        return Http.call(host, fleet.callerPort(), 5_500, method, uri, headers, body);
    }

    /** Submits a job until it is accepted; returns false if that does not happen. */
    boolean submit(String job, ArrayNode items, String key) throws InterruptedException {
        return submit(job, items, key, 500);
    }

    /** The same with the pause between two attempts. */
    boolean submit(String job, ArrayNode items, String key, long pauseMs)
            throws InterruptedException {
        byte[] body =
                Store.JSON
                        .createObjectNode()
                        .set("items", items)
                        .toString()
                        .getBytes(StandardCharsets.UTF_8);
        for (int attempt = 1; attempt <= 20; attempt++) {
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", Fleet.HOST);
            headers.put("Authorization", "Bearer " + key);
            headers.put("Sardinelift-Attempt-Id", job);
            headers.put("Content-Type", "application/json");
            try {
                int status = call("POST", "/pule252/" + job, headers, body).status();
                record.write(
                        "job " + job + ", " + items.size() + " items, " + body.length
                                + " bytes, attempt " + attempt + ": " + status);
                if (status == 202) {
                    return true;
                }
            } catch (IOException e) {
                record.write("job " + job + ", attempt " + attempt + ": " + e);
            }
            Thread.sleep(pauseMs);
        }
        return false;
    }

    /** Reads the results from a position on; null if there is no answer of status 200. */
    JsonNode read(String job, int after, String key) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", Fleet.HOST);
        headers.put("Authorization", "Bearer " + key);
        try {
            Http.Message answer = call("GET", "/lots/" + job + "?after=" + after, headers,
                    new byte[0]);
            if (answer.status() != 200) {
                record.write("read of " + job + " after " + after + ": " + answer.status());
                return null;
            }
            return Store.JSON.readTree(answer.body());
        } catch (IOException e) {
            record.write("read of " + job + " after " + after + ": " + e);
            return null;
        }
    }

    /** Reads all results listed so far: the state and the output by the id of the item. */
    Map<String, String[]> readAll(String job, String key) throws InterruptedException {
        return readAll(job, key, 20, 0);
    }

    /**
     * The same with a bound on the reads that fail, null once they are over it, and with the number
     * of positions that have been read before.
     */
    Map<String, String[]> readAll(String job, String key, int maxFailures, int mustHave)
            throws InterruptedException {
        Map<String, String[]> results = new LinkedHashMap<>();
        int after = 0;
        int failures = 0;
        while (failures < maxFailures) {
            JsonNode page = read(job, after, key);
            if (page == null) {
                failures++;
                Thread.sleep(200);
                continue;
            }
            page.path("results")
                    .forEach(
                            each ->
                                    results.put(
                                            each.path("id").asText(),
                                            new String[] {
                                                each.path("state").asText(),
                                                each.path("output").asText()
                                            }));
            if (page.path("results").isEmpty()) {
                if (after < mustHave) {
                    record.write("no result of " + job + " at position " + after + " of " + mustHave
                            + ", which had been read before");
                    emptyPages++;
                    failures++;
                    Thread.sleep(200);
                    continue;
                }
                return results;
            }
            after = page.path("next").asInt();
        }
        return null;
    }
}
