package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The client of a batch job states a tenant, or its key, in the headers of its items. */
final class ItemHeaders implements Case.Script {
    private static final int ITEMS = 10;
    private static final String JOB = "7c41e09b52d6a3f9";
    private static final String OTHER_TENANT = "juno41";

    private final Map<String, List<String>> tenants = new ConcurrentHashMap<>();
    private final Map<String, List<String>> keys = new ConcurrentHashMap<>();

    @Override
    public boolean run(Fleet fleet, Record record, boolean hasTrouble) throws Exception {
        fleet.configure(
                Fleet.batchRoute(),
                Fleet.tenant(Fleet.TENANT, Fleet.KEY)
                        + ","
                        + Fleet.tenant(OTHER_TENANT, "n2ctnfzs989anu6wsjnb"));
        fleet.startReplicas(3, this::runItem);
        fleet.startWorkers(3);
        fleet.startGateways(1);
        if (!fleet.awaitReady()) {
            throw new Case.NotRunnable("the gateways are not ready");
        }
        Thread.sleep(3_000);
        ArrayNode items = Store.JSON.createArrayNode();
        for (int i = 0; i < ITEMS; i++) {
            ObjectNode item = Batch.item(String.format("a5b2907c14da%04x", i), new byte[100], 400);
            if (hasTrouble && i % 2 == 0) {
                ((ObjectNode) item.get("headers")).put("Sardinelift-Tenant", OTHER_TENANT);
            } else if (hasTrouble) {
                ((ObjectNode) item.get("headers")).put("Authorization", "Bearer " + Fleet.KEY);
            }
            items.add(item);
        }
        Batch batch = new Batch(fleet, record, 1);
        if (!batch.submit(JOB, items, Fleet.KEY)) {
            throw new Case.NotRunnable("the job was not accepted");
        }
        for (int i = 0; i < 20 && tenants.size() < ITEMS; i++) {
            Thread.sleep(1_000);
        }
        if (tenants.size() < ITEMS) {
            throw new Case.NotRunnable("only " + tenants.size() + " items have run");
        }
        long foreign =
                tenants.values().stream()
                        .filter(names -> !names.equals(List.of(Fleet.TENANT)))
                        .count();
        long withKey = keys.values().stream().filter(each -> !each.isEmpty()).count();
        record.write(
                "items run: " + tenants.size() + "; with another tenant's name: " + foreign
                        + "; with a key: " + withKey);
        if (foreign > 0) {
            record.write("UNASKED: items run whose tenant isn't the one that holds the key");
        }
        if (withKey > 0) {
            record.write("UNASKED: items run to which the key was passed on");
        }
        return foreign == 0 && withKey == 0;
    }

    private void runItem(Replica replica, Http.Message request, Http.Connection connection)
            throws IOException, InterruptedException {
        String id = request.header("Sardinelift-Attempt-Id");
        tenants.put(id, request.headerValues("Sardinelift-Tenant"));
        keys.put(id, request.headerValues("Authorization"));
        replica.record().write(
                replica.id() + " runs " + id + " for " + request.headerValues("Sardinelift-Tenant")
                        + ", authorization " + request.headerValues("Authorization"));
        Replica.stream(replica, request, connection, 20, 4, 20, (each, event) -> "x" + event);
    }
}
