import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Half of the replicas are replaced one after the other by a newer version, each under the id that
 * it had, while resumable streams run. Exit codes: 0 the rule held, 1 it was broken, 2 the case
 * couldn't run.
 */
public final class InPlaceRelease {
    private static final int REPLICAS = 6;
    private static final int REPLACED = 3;
    private static final int CALLERS = 12;
    private static final int RELEASES = 7;
    private static final int DOWN_MS = 400;
    private static final int MIN_GAP_MS = 730;
    private static final int MAX_GAP_MS = 1_100;

    /** Bound of the users' bench on streams of two versions. */
    private static final int ALLOWED = 2;

    private InPlaceRelease() {}

    public static void main(String[] args) {
        boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Bed bed = new Bed(Path.of(args[0]))) {
            exit = run(bed, isTroubled);
            bed.note("exit " + exit);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private static int run(Bed bed, boolean isTroubled) throws Exception {
        bed.configure(1);
        List<Bed.Replica> replicas = new ArrayList<>();
        for (int i = 0; i < REPLICAS; i++) {
            replicas.add(bed.replica("i-" + i, "ab".substring(i % 2, i % 2 + 1), 60 + i, 8, "v1"));
        }
        List<Bed.Node> gateways =
                List.of(bed.gateway("front-a-1", "a", 21), bed.gateway("front-b-1", "b", 22));
        bed.startAll();
        bed.awaitReady();

        List<String> results = new CopyOnWriteArrayList<>();
        AtomicBoolean isOver = new AtomicBoolean();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Bed.Node gateway = gateways.get(i % 2);
            callers.add(
                    Bed.daemon(
                            () -> {
                                while (!isOver.get()) {
                                    results.add(call(bed, gateway));
                                    Bed.sleep(50);
                                }
                            }));
        }
        Bed.sleep(3000);
        for (int release = 0; release < RELEASES; release++) {
            for (int i = 0; i < REPLACED && isTroubled; i++) {
                Bed.Replica each = replicas.get((release * REPLACED + i) % REPLICAS);
                each.crash();
                Bed.sleep(DOWN_MS);
                each.version = "v" + (release + 2);
                each.start();
                Bed.sleep(MIN_GAP_MS + bed.random.nextInt(MAX_GAP_MS - MIN_GAP_MS) - DOWN_MS);
            }
            Bed.sleep(6000);
        }
        isOver.set(true);
        for (Thread each : callers) {
            each.join();
        }
        long whole = results.stream().filter(result -> result.startsWith("whole")).count();
        long joined = results.stream().filter(result -> result.startsWith("joined")).count();
        bed.note(
                "%d streams, %d answered 200 to the end from one version, %d joined from two versions"
                        .formatted(results.size(), whole, joined));
        if (whole == 0) {
            return 2;
        }
        return joined > ALLOWED ? 1 : 0;
    }

    private static String call(Bed bed, Bed.Node gateway) {
        String attempt = bed.newId();
        Map<String, String> headers = bed.clientHeaders(attempt);
        headers.put("Sardinelift-Model", "m");
        headers.put("Sardinelift-Token-Count", "250,60");
        headers.put("Sardinelift-Deadline-Ms", "5000");
        String result;
        try {
            Bed.Message answer =
                    Bed.request(
                            gateway.ip, bed.callerPort, "POST", "/check/60/q", headers,
                            ("q " + attempt).getBytes(StandardCharsets.UTF_8), 6000);
            Set<String> versions = new TreeSet<>();
            for (String line : answer.text().split("\n")) {
                if (line.startsWith("data: ")) {
                    versions.add(line.substring("data: ".length()).split(":")[0]);
                }
            }
            boolean isWhole = answer.status == 200 && answer.text().contains("id: 60\n");
            result =
                    (isWhole ? versions.size() > 1 ? "joined" : "whole" : "failed")
                            + " " + answer.status + " versions " + versions;
        } catch (IOException e) {
            result = "no whole answer: " + e.getMessage();
        }
        bed.note("client: stream " + attempt + " at " + gateway.name + " -> " + result);
        return result;
    }
}
