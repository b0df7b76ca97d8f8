import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Batch jobs of ten items; in one of them the value of an item's header begins with a space. Each
 * item of an accepted job has to be listed, as completed or as dead-lettered, by the time finishS
 * after the last job, if the replicas have been idle. Without the disruption there is no such space.
 */
public final class Case13 {
    private static final int ITEMS = 10;
    private static final int JOBS = 12;
    private static final int ODD_JOB = 3;

    /** finishS of the deployment, and the calm seconds at its end. */
    private static final int FINISH_MS = 18_000 + 7_000;

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
            fleet.addReplica("i-" + i, zones[i % 3], "v1").setStream(20, 20);
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
        List<String> accepted = new ArrayList<>();
        int rejected = 0;
        for (int n = 0; n < JOBS; n++) {
            String id = "job-" + n;
            int status = 0;
            for (int attempt = 0; attempt < 3 && status != 202 && status != 400; attempt++) {
                status =
                        fleet.call(
                                        fleet.gateways.get((n + attempt) % 3),
                                        "POST",
                                        Fleet.BATCH + id,
                                        Fleet.headers(id),
                                        job(id, isTrouble && n == ODD_JOB),
                                        4_000)
                                .status;
                fleet.log("submit " + id + " -> " + status);
            }
            if (status == 202) {
                accepted.add(id);
            } else {
                rejected++;
            }
            Thread.sleep(500);
        }
        if (accepted.size() < JOBS - 1) {
            return 2;
        }
        Thread.sleep(FINISH_MS);
        Set<String> unlisted = new HashSet<>();
        for (String id : accepted) {
            Set<String> listed = listed(fleet, id);
            for (int i = 0; i < ITEMS; i++) {
                if (!listed.contains(id + "-" + i)) {
                    unlisted.add(id + "-" + i);
                }
            }
            fleet.log(id + " lists " + listed.size() + " of " + ITEMS);
        }
        long lastRun = fleet.runs.stream().mapToLong(Fleet.Run::ms).max().orElse(0);
        fleet.log(
                "last run of any item began " + (fleet.ms() - lastRun) + " ms ago; not listed "
                        + unlisted);
        for (String item : unlisted) {
            long runs = fleet.runs.stream().filter(run -> run.call().equals(item)).count();
            fleet.log(item + " has reached replicas " + runs + " times");
        }
        System.out.println(
                "accepted " + accepted.size() + ", rejected " + rejected + ", items not listed "
                        + unlisted.size());
        return unlisted.isEmpty() ? 0 : 1;
    }

    private static Set<String> listed(Fleet fleet, String id) {
        Set<String> listed = new HashSet<>();
        for (int attempt = 0; attempt < 6; attempt++) {
            Http.Message answer =
                    fleet.call(
                            fleet.gateways.get(attempt % 3),
                            "GET",
                            "/lots/" + id + "?after=0",
                            Fleet.headers(null),
                            new byte[0],
                            3_000);
            if (answer.status == 200) {
                Object results = Json.object(Json.parse(answer.text())).get("results");
                for (Object each : Json.list(results)) {
                    listed.add((String) Json.object(each).get("id"));
                }
                fleet.log("read " + id + " -> " + answer.text().replaceAll("\"output\":\"[^\"]*", "\"output\":\""));
                return listed;
            }
        }
        return listed;
    }

    private static byte[] job(String id, boolean isOdd) {
        List<Object> items = new ArrayList<>();
        for (int i = 0; i < ITEMS; i++) {
            Map<String, Object> headers = new LinkedHashMap<>();
            headers.put("Sardinelift-Model", "m");
            headers.put("Sardinelift-Token-Count", isOdd && i == 4 ? " 350,219" : "350,219");
            Map<String, Object> item = new LinkedHashMap<>();
            item.put("id", id + "-" + i);
            item.put("path", Fleet.BATCH + id + "/" + i);
            item.put("headers", headers);
            item.put("body", Base64.getEncoder().encodeToString(new byte[1_500]));
            item.put("tokens", 569);
            items.add(item);
        }
        return Json.write(Map.of("items", items)).getBytes(StandardCharsets.UTF_8);
    }
}
