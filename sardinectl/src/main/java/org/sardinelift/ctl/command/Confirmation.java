package org.sardinelift.ctl.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import org.sardinelift.ctl.Json;
import org.sardinelift.ctl.http.Address;
import org.sardinelift.ctl.http.ApiClient;
import org.sardinelift.ctl.http.CallResult;

/**
 * Instances that have and have not applied a revision of the configuration.
 *
 * @param revision the revision
 * @param unconfirmed instances that have not confirmed it, with their last answer
 * @param instanceCount number of instances asked
 */
record Confirmation(long revision, Map<Address, String> unconfirmed, int instanceCount) {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

    static Confirmation await(
            ApiClient client, List<Address> instances, long revision, Duration timeout) {
        long deadline = System.nanoTime() + timeout.toNanos();
        Map<Address, String> unconfirmed = new LinkedHashMap<>();
        instances.forEach(address -> unconfirmed.put(address, "not asked"));
        while (true) {
            for (Address address : List.copyOf(unconfirmed.keySet())) {
                poll(client, address, revision, unconfirmed);
            }
            if (unconfirmed.isEmpty() || System.nanoTime() - deadline >= 0) {
                return new Confirmation(revision, unconfirmed, instances.size());
            }
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
        }
    }

    boolean isComplete() {
        return unconfirmed.isEmpty();
    }

    ObjectNode toJson() {
        ObjectNode json =
                Json.newObject()
                        .put("revision", revision)
                        .put("confirmed", instanceCount - unconfirmed.size())
                        .put("asked", instanceCount);
        ArrayNode list = json.putArray("missing");
        unconfirmed.forEach(
                (address, last) ->
                        list.addObject().put("address", address.toString()).put("last", last));
        return json;
    }

    String text() {
        String confirmed =
                (instanceCount - unconfirmed.size())
                        + " of "
                        + instanceCount
                        + " instances have revision "
                        + revision;
        return unconfirmed.isEmpty()
                ? confirmed
                : confirmed
                        + "; not confirmed: "
                        + unconfirmed.entrySet().stream()
                                .map(each -> each.getKey() + " (" + each.getValue() + ")")
                                .collect(Collectors.joining(", "));
    }

    private static void poll(
            ApiClient client, Address address, long revision, Map<Address, String> unconfirmed) {
        CallResult result = client.call(address, "GET", "/config", Map.of(), "");
        if (result instanceof CallResult.Answered answered) {
            long applied = answered.json().path("revision").asLong();
            if (applied >= revision) {
                unconfirmed.remove(address);
            } else {
                unconfirmed.put(address, "has revision " + applied);
            }
            return;
        }
        unconfirmed.put(
                address,
                result instanceof CallResult.Unanswered unanswered
                        ? unanswered.reason()
                        : "refused the request");
    }
}
