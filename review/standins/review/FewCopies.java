package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The store is down. Two of the three workers are killed just before a batch job comes, and the
 * one that then accepts it loses its disk right after the acknowledgement. Each is back within a
 * second or so.
 */
final class FewCopies implements Case.Script {
    private static final int ITEMS = 10;
    private static final String JOB = "7c41e09b52d6c001";
    private static final long OUTAGE_MS = 4_500;
    private static final long DOWN_MS = 1_000;
    private static final long FINISH_MS = 18_000;

    private final Set<String> run = ConcurrentHashMap.newKeySet();

    @Override
    public boolean run(Fleet fleet, Record record, boolean hasTrouble) throws Exception {
        fleet.configure(Fleet.batchRoute(), Fleet.tenant(Fleet.TENANT, Fleet.KEY));
        fleet.startReplicas(6, this::runItem);
        fleet.startWorkers(3);
        fleet.startGateways(3);
        if (!fleet.awaitReady()) {
            throw new Case.NotRunnable("the gateways are not ready");
        }
        Thread.sleep(5_000);
        List<String> workers = fleet.workers();
        List<String> others = workers.subList(1, workers.size());
        long outageAt = System.currentTimeMillis();
        if (hasTrouble) {
            fleet.store.setDown(true);
            Thread.sleep(1_000);
            fleet.kill(others);
            Http.start("restart", () -> restartLater(fleet, record, others));
        }
        ArrayNode items = Store.JSON.createArrayNode();
        for (int i = 0; i < ITEMS; i++) {
            items.add(Batch.item(String.format("f6b2907c14da%04x", i), new byte[1_500], 569));
        }
        Batch batch = new Batch(fleet, record, 3);
        boolean isAccepted = batch.submit(JOB, items, Fleet.KEY, 50);
        if (hasTrouble) {
            fleet.kill(List.of(workers.get(0)));
            fleet.wipeDisk(workers.get(0));
            fleet.restart(workers.get(0));
            Thread.sleep(Math.max(0, outageAt + OUTAGE_MS - System.currentTimeMillis()));
            fleet.store.setDown(false);
        }
        if (!isAccepted) {
            throw new Case.NotRunnable("the job was not accepted");
        }
        Map<String, String[]> results = null;
        for (long waited = 0; waited < 12_000 + FINISH_MS; waited += 3_000) {
            Thread.sleep(3_000);
            results = batch.readAll(JOB, Fleet.KEY, 3, 0);
            record.write(
                    "listed: " + (results == null ? "no answer of status 200" : results.size())
                            + "; items run by replicas: " + run.size());
        }
        if (results == null || results.size() < ITEMS) {
            record.write("LOST: an accepted batch job can't be read, or has items not listed");
            return false;
        }
        return true;
    }

    private static void restartLater(Fleet fleet, Record record, List<String> workers) {
        try {
            Thread.sleep(DOWN_MS);
            for (String worker : workers) {
                fleet.restart(worker);
            }
        } catch (IOException | InterruptedException e) {
            record.write("no restart: " + e);
        }
    }

    private void runItem(Replica replica, Http.Message request, Http.Connection connection)
            throws IOException, InterruptedException {
        String id = request.header("Sardinelift-Attempt-Id");
        run.add(id);
        replica.record().write(replica.id() + " runs " + id);
        Replica.stream(replica, request, connection, 219, 11, 50, (each, event) -> "x" + event);
    }
}
