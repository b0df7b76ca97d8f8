import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Batch jobs are accepted and their results read; then all workers are killed and start again. The
 * results that had been read have to be there again. Without the disruption no worker is killed.
 */
public final class Case11 {
    private static final int ITEMS = 200;
    private static final int ITEM_BYTES = 4_000;
    private static final int JOBS = 80;
    private static final int PAUSE_MS = 250;

    /** Longer than contactMs, catchUpS and recoverS of the deployment together. */
    private static final int SETTLE_MS = 20_000;

    public static void main(String[] args) throws Exception {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Fleet fleet = new Fleet(Path.of(args[0]))) {
            code = run(fleet, isTrouble);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static int run(Fleet fleet, boolean isTrouble) throws Exception {
        fleet.configure(10);
        String[] zones = {"z1", "z2", "z3"};
        for (int i = 0; i < 6; i++) {
            fleet.addReplica("i-" + i, zones[i % 3], "v1").setStream(3, 1);
        }
        for (int i = 0; i < 3; i++) {
            fleet.addWorker("w-" + i, zones[i]);
            fleet.addGateway("g-" + i, zones[i]);
        }
        if (!fleet.awaitReady(30)) {
            fleet.log("the gateways aren't ready");
            return 2;
        }
        Thread.sleep(4_000);
        Map<String, Integer> accepted = new LinkedHashMap<>();
        int refused = 0;
        Random random = new Random(7);
        for (int n = 0; n < JOBS && fleet.ms() < 55_000; n++) {
            String id = "job-" + n;
            byte[] body = job(id, random);
            int status = 0;
            for (int attempt = 0; attempt < 2 && status != 202; attempt++) {
                long at = fleet.ms();
                Http.Message answer =
                        fleet.call(
                                fleet.gateways.get((n + attempt) % 3),
                                "POST",
                                Fleet.BATCH + id,
                                Fleet.headers(id),
                                body,
                                4_000);
                status = answer.status;
                fleet.log(
                        "submit " + id + " bytes " + body.length + " -> " + status + " in "
                                + (fleet.ms() - at) + " ms");
            }
            if (status == 202) {
                accepted.put(id, ITEMS);
            } else {
                refused++;
            }
            Thread.sleep(PAUSE_MS);
        }
        fleet.log("accepted " + accepted.size() + ", not accepted " + refused);
        Thread.sleep(3_000);
        Map<String, Integer> seen = new LinkedHashMap<>();
        for (String id : accepted.keySet()) {
            if (fleet.ms() > 72_000) {
                break;
            }
            int results = results(read(fleet, id, 0, seen.size() % 3));
            if (results > 0) {
                seen.put(id, results);
            }
        }
        int total = seen.values().stream().mapToInt(Integer::intValue).sum();
        fleet.log("read " + total + " results of " + seen.size() + " jobs");
        if (isTrouble) {
            fleet.workers.forEach(Fleet.Proc::kill);
            Thread.sleep(100);
            fleet.workers.forEach(Fleet.Proc::release);
        }
        Thread.sleep(SETTLE_MS);
        long deadline = Math.min(116_000, fleet.ms() + 20_000);
        Map<String, String> broken = new LinkedHashMap<>();
        Map<String, Integer> left = new LinkedHashMap<>(seen);
        while (!left.isEmpty() && fleet.ms() < deadline) {
            for (Map.Entry<String, Integer> each : List.copyOf(left.entrySet())) {
                if (fleet.ms() > deadline) {
                    break;
                }
                String id = each.getKey();
                Http.Message answer = read(fleet, id, 0, (int) (fleet.ms() % 3));
                int results = results(answer);
                if (answer.status == 200 || answer.status == 404) {
                    left.remove(id);
                }
                if (answer.status == 404 || answer.status == 200 && results < each.getValue()) {
                    broken.put(id, answer.status + ", " + results + " of " + each.getValue());
                    fleet.log(
                            "results that had been read are gone: " + id + ", status "
                                    + answer.status + ", now " + results + ", before "
                                    + each.getValue());
                }
            }
            Thread.sleep(200);
        }
        left.keySet().forEach(id -> fleet.log("not readable again: " + id));
        int ends = 0;
        for (Fleet.Proc worker : fleet.workers) {
            ends += worker.ends;
        }
        fleet.log("runs " + fleet.runs.size() + ", ends of workers " + ends);
        System.out.println(
                "accepted " + accepted.size() + ", jobs read before " + seen.size()
                        + ", lost results " + broken.size() + ", not readable again "
                        + left.size());
        if (accepted.size() < JOBS / 2 || seen.size() < 5) {
            return 2;
        }
        return broken.isEmpty() && left.isEmpty() ? 0 : 1;
    }

    private static int results(Http.Message answer) {
        if (answer.status != 200) {
            return 0;
        }
        return Json.list(Json.object(Json.parse(answer.text())).get("results")).size();
    }

    private static Http.Message read(Fleet fleet, String id, int after, int gateway) {
        return fleet.call(
                fleet.gateways.get(gateway),
                "GET",
                "/lots/" + id + "?after=" + after,
                Fleet.headers(null),
                new byte[0],
                3_000);
    }

    private static byte[] job(String id, Random random) {
        List<Object> list = new ArrayList<>();
        for (int i = 0; i < ITEMS; i++) {
            byte[] body = new byte[ITEM_BYTES];
            random.nextBytes(body);
            Map<String, Object> item = new LinkedHashMap<>();
            item.put("id", id + "-" + i);
            item.put("path", Fleet.BATCH + id + "/" + i);
            item.put(
                    "headers",
                    Map.of("Sardinelift-Model", "m", "Sardinelift-Token-Count", "350,219"));
            item.put("body", Base64.getEncoder().encodeToString(body));
            item.put("tokens", 569);
            list.add(item);
        }
        return Json.write(Map.of("items", list)).getBytes(StandardCharsets.UTF_8);
    }
}
