import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Nine batch jobs, each within the limits on requests, come at once while other jobs run, which are
 * then ended. Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
 */
public final class LargeJobs {
    private static final byte[] NONE = new byte[0];
    private static final int EVENTS = 60;
    private static final int LARGE_JOBS = 9;
    private static final int LARGE_ITEMS = 9;
    private static final int LARGE_BYTES = 320_000;
    private static final int SMALL_JOBS = 6;
    private static final int SMALL_ITEMS = 60;
    private static final int SMALL_BYTES = 1_500;
    private static final double CANCEL_S = 3;

    private LargeJobs() {}

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
        for (int i = 0; i < 3; i++) {
            bed.replica("i-" + i, "abc".substring(i, i + 1), 60 + i, 8, "v1").eventMs = 40;
        }
        Bed.Node first = bed.gateway("front-a-1", "a", 21);
        Bed.Node second = bed.gateway("front-b-1", "b", 22);
        bed.worker("store-a-1", "a", 31);
        bed.worker("store-b-1", "b", 32);
        bed.worker("store-c-1", "c", 33);
        bed.startAll();
        bed.awaitReady();

        Map<String, String> jobOfItem = new HashMap<>();
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < SMALL_JOBS; i++) {
            String job = bed.newId();
            List<String> items = ids(bed, SMALL_ITEMS);
            items.forEach(item -> jobOfItem.put(item, job));
            byte[] body = bed.jobBody(items, EVENTS, SMALL_BYTES);
            if (bed.jobCall(i % 2 == 0 ? first : second, "POST", "/notices/x", job, body).status != 202) {
                return 2;
            }
            jobs.add(job);
        }
        Bed.sleep(1500);
        if (isTroubled) {
            submitLargeJobs(bed, first, second);
        }
        Bed.sleep(1000);
        Map<String, Double> endedAt = new HashMap<>();
        for (int i = 0; i < SMALL_JOBS; i++) {
            // Ended at the other gateway than the one that took it.
            Bed.Node gateway = i % 2 == 0 ? second : first;
            for (int k = 0; k < 8 && !endedAt.containsKey(jobs.get(i)); k++) {
                if (bed.jobCall(gateway, "DELETE", "/lots/" + jobs.get(i), null, NONE).status == 200) {
                    endedAt.put(jobs.get(i), bed.now());
                } else {
                    Bed.sleep(300);
                }
            }
        }
        bed.note(endedAt.size() + " of " + SMALL_JOBS + " small jobs are ended");
        if (endedAt.isEmpty()) {
            return 2;
        }
        Bed.sleep(25_000);
        int late = 0;
        double latest = 0;
        for (String line : java.nio.file.Files.readAllLines(bed.recordFile)) {
            int at = line.indexOf(" runs ");
            String item = at < 0 ? "" : line.substring(at + " runs ".length()).split(" ")[0];
            Double ended = endedAt.get(jobOfItem.getOrDefault(item, ""));
            if (ended != null) {
                double after = Double.parseDouble(line.trim().split(" ")[0]) - ended;
                late += after > CANCEL_S ? 1 : 0;
                latest = Math.max(latest, after);
            }
        }
        bed.note(
                String.format(
                        Locale.ROOT,
                        "%d runs of items of ended jobs began later than cancelMs after the acknowledgement,"
                                + " the last of them %.3f s after it",
                        late, latest));
        return late > 0 ? 1 : 0;
    }

    /** Each client sends its job again, at the other node, while it isn't accepted. */
    private static void submitLargeJobs(Bed bed, Bed.Node first, Bed.Node second) throws InterruptedException {
        List<byte[]> bodies = new ArrayList<>();
        for (int i = 0; i < LARGE_JOBS; i++) {
            bodies.add(bed.jobBody(ids(bed, LARGE_ITEMS), EVENTS, LARGE_BYTES));
        }
        AtomicInteger accepted = new AtomicInteger();
        List<Thread> clients = new CopyOnWriteArrayList<>();
        for (int i = 0; i < LARGE_JOBS; i++) {
            int number = i;
            clients.add(
                    Bed.daemon(
                            () -> {
                                String job = bed.newId();
                                byte[] body = bodies.get(number);
                                for (int k = 0; k < 2; k++) {
                                    bed.note("job " + job + " of " + body.length + " bytes is sent");
                                    Bed.Node gateway = (number + k) % 2 == 0 ? first : second;
                                    if (bed.jobCall(gateway, "POST", "/notices/x", job, body).status == 202) {
                                        accepted.incrementAndGet();
                                        return;
                                    }
                                    Bed.sleep(500);
                                }
                            }));
        }
        for (Thread each : clients) {
            each.join();
        }
        bed.note(accepted + " of " + LARGE_JOBS + " large jobs are accepted");
    }

    private static List<String> ids(Bed bed, int count) {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ids.add(bed.newId());
        }
        return ids;
    }
}
