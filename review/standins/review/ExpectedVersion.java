package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * One tenant's batch item expects weights of another version than the replicas have; another
 * tenant's batch job follows.
 */
final class ExpectedVersion implements Case.Script {
    private static final int ITEMS = 10;
    private static final long FINISH_MS = 18_000;
    private static final String FIRST_JOB = "7c41e09b52d6a401";
    private static final String SECOND_JOB = "7c41e09b52d6a402";
    private static final String OTHER_TENANT = "juno41";
    private static final String OTHER_KEY = "n2ctnfzs989anu6wsjnb";

    @Override
    public boolean run(Fleet fleet, Record record, boolean hasTrouble) throws Exception {
        fleet.configure(
                Fleet.batchRoute()
                        + ","
                        + Fleet.route("r-stream", "/lohu930/", "stream", 2,
                                ",\"sticky\":true,\"resumable\":true,\"gapAimMs\":400"),
                Fleet.tenant(Fleet.TENANT, Fleet.KEY) + "," + Fleet.tenant(OTHER_TENANT, OTHER_KEY));
        fleet.startReplicas(4, ExpectedVersion::runItem);
        fleet.startWorkers(3);
        fleet.startGateways(1);
        if (!fleet.awaitReady()) {
            throw new Case.NotRunnable("the gateway is not ready");
        }
        Thread.sleep(3_000);
        Batch batch = new Batch(fleet, record, 1);
        ArrayNode first = Store.JSON.createArrayNode();
        ObjectNode item = Batch.item("c5b2907c14da0000", new byte[100], 400);
        if (hasTrouble) {
            ((ObjectNode) item.get("headers")).put("Sardinelift-Expect-Version", "2");
        }
        first.add(item);
        if (!batch.submit(FIRST_JOB, first, Fleet.KEY)) {
            throw new Case.NotRunnable("the first job was not accepted");
        }
        Thread.sleep(3_000);
        ArrayNode second = Store.JSON.createArrayNode();
        for (int i = 0; i < ITEMS; i++) {
            second.add(Batch.item(String.format("d5b2907c14da%04x", i), new byte[100], 400));
        }
        if (!batch.submit(SECOND_JOB, second, OTHER_KEY)) {
            throw new Case.NotRunnable("the second job was not accepted");
        }
        Map<String, String[]> results = null;
        for (long waited = 0; waited < FINISH_MS; waited += 2_000) {
            Thread.sleep(2_000);
            results = batch.readAll(SECOND_JOB, OTHER_KEY);
            record.write(
                    "second job, listed: " + (results == null ? "no answer" : results.size())
                            + " of " + ITEMS + "; running at replicas: " + running(fleet));
        }
        recordOnlineCalls(fleet, record, hasTrouble);
        boolean isComplete = results != null && results.size() == ITEMS;
        if (!isComplete) {
            record.write("LOST: items of an open batch job are not listed after finishS");
        }
        return isComplete;
    }

    /** Sends online calls after one that expects another version; for the record only. */
    private static void recordOnlineCalls(Fleet fleet, Record record, boolean hasTrouble)
            throws InterruptedException {
        for (int i = 0; i < 8; i++) {
            Map<String, String> headers =
                    fleet.headers("e6c2907c14da000" + i, i < 2 ? Fleet.KEY : OTHER_KEY, 5_000);
            if (i == 1 && hasTrouble) {
                headers.put("Sardinelift-Expect-Version", "2");
            }
            try {
                Http.Message answer =
                        Http.call(fleet.gatewayHost(0), fleet.callerPort(), 6_000, "POST",
                                "/lohu930/" + i, headers, new byte[100]);
                record.write(
                        "online call " + i + (i == 1 && hasTrouble ? ", expects version 2" : "")
                                + ": " + answer.status());
            } catch (IOException e) {
                record.write("online call " + i + ": " + e);
            }
            Thread.sleep(500);
        }
    }

    private static int running(Fleet fleet) {
        return fleet.replicas.stream().mapToInt(Replica::running).sum();
    }

    private static void runItem(
            Replica replica, Http.Message request, Http.Connection connection)
            throws IOException, InterruptedException {
        String id = request.header("Sardinelift-Attempt-Id");
        String version = request.header("Sardinelift-Expect-Version");
        if (version != null && !version.equals("1")) {
            replica.record().write(replica.id() + " has weights of version 1, " + id
                    + " expects version " + version + ": 421");
            Map<String, String> headers = replica.headers(request);
            headers.put("Sardinelift-Instance-Id", replica.id());
            connection.respond(421, headers, new byte[0]);
            return;
        }
        replica.record().write(replica.id() + " runs " + id);
        Replica.stream(replica, request, connection, 20, 4, 20, (each, event) -> "x" + event);
    }
}
