package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;

/**
 * A batch job whose text is not ASCII: the store is down for some seconds while it runs. Each item
 * has as many bytes of output as the batch items of the site have on average.
 */
final class LargeRecords implements Case.Script {
    private static final int ITEMS = 200;
    private static final int EVENTS = 219;
    private static final int CHARS_PER_EVENT = 20;
    private static final long OUTAGE_MS = 4_500;
    private static final long FINISH_MS = 18_000;
    private static final String JOB = "7c41e09b52d6a3f8";

    private final Map<String, Long> finishedAt = new ConcurrentHashMap<>();

    @Override
    public boolean run(Fleet fleet, Record record, boolean hasTrouble) throws Exception {
        fleet.configure(Fleet.batchRoute(), Fleet.tenant(Fleet.TENANT, Fleet.KEY));
        fleet.startReplicas(6, this::runItem);
        fleet.startWorkers(3);
        fleet.startGateways(2);
        if (!fleet.awaitReady()) {
            throw new Case.NotRunnable("the gateways are not ready");
        }
        Thread.sleep(3_000);
        Batch batch = new Batch(fleet, record, 2);
        ArrayNode items = Store.JSON.createArrayNode();
        IntStream.range(0, ITEMS).forEach(i -> items.add(Batch.item(id(i), new byte[1_500], 569)));
        if (!batch.submit(JOB, items, Fleet.KEY)) {
            throw new Case.NotRunnable("the job was not accepted");
        }
        Thread.sleep(1_000);
        if (hasTrouble) {
            fleet.store.setDown(true);
            Thread.sleep(OUTAGE_MS);
            fleet.store.setDown(false);
        } else {
            Thread.sleep(OUTAGE_MS);
        }
        Map<String, String[]> results = null;
        for (long waited = 0; waited < FINISH_MS; waited += 1_000) {
            Thread.sleep(1_000);
            results = batch.readAll(JOB, Fleet.KEY);
            record.write(
                    "listed: " + (results == null ? "no answer" : results.size()) + " of " + ITEMS
                            + "; finished by replicas: " + finishedAt.size()
                            + "; running: " + running(fleet));
        }
        return holds(results, record, fleet);
    }

    private static int running(Fleet fleet) {
        return fleet.replicas.stream().mapToInt(Replica::running).sum();
    }

    private boolean holds(Map<String, String[]> results, Record record, Fleet fleet) {
        if (results == null) {
            record.write("LOST: the job can't be read");
            return false;
        }
        Map<String, String[]> listed = results;
        int wrong = 0;
        for (Map.Entry<String, String[]> each : listed.entrySet()) {
            boolean isWhole = each.getValue()[1].equals(output(each.getKey()));
            if (each.getValue()[0].equals("completed") && !isWhole) {
                wrong++;
            }
        }
        long missing =
                IntStream.range(0, ITEMS).filter(i -> !listed.containsKey(id(i))).count();
        long lastFinish = finishedAt.values().stream().mapToLong(at -> at).max().orElse(0);
        record.write(
                "items not listed: " + missing + "; listed with another text: " + wrong
                        + "; replicas are running " + running(fleet)
                        + "; last item finished by a replica "
                        + (System.currentTimeMillis() - lastFinish) + " ms ago");
        if (missing > 0) {
            record.write("LOST: items of an open batch job are not listed after finishS");
        }
        return missing == 0 && wrong == 0;
    }

    private void runItem(Replica replica, Http.Message request, Http.Connection connection)
            throws java.io.IOException, InterruptedException {
        String item = request.header("Sardinelift-Attempt-Id");
        replica.record().write(replica.id() + " runs " + item);
        Replica.stream(replica, request, connection, EVENTS, 11, 50, LargeRecords::data);
        finishedAt.put(item, System.currentTimeMillis());
    }

    private static String id(int number) {
        return String.format("e5b2907c14da%04x", number);
    }

    /** Text of CJK characters, three bytes each in UTF-8. */
    private static String data(String item, int event) {
        StringBuilder text = new StringBuilder();
        int seed = item.hashCode() * 31 + event;
        for (int i = 0; i < CHARS_PER_EVENT; i++) {
            seed = seed * 1_103_515_245 + 12_345;
            text.append((char) (0x4e00 + (seed >>> 8) % 5_000));
        }
        return text.toString();
    }

    private static String output(String item) {
        StringBuilder text = new StringBuilder();
        for (int event = 1; event <= EVENTS; event++) {
            text.append(event == 1 ? "" : "\n").append(data(item, event));
        }
        return text.toString();
    }
}
