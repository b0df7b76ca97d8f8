import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A request crashes each replica that begins to run it; the replicas start again under the ids that
 * they had. Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
 */
public final class CrashSameId {
    private static final int DOWN_MS = 2_000;
    private static final double CONTACT_S = 3;

    private CrashSameId() {}

    public static void main(String[] args) {
        String trouble = System.getenv().getOrDefault("TROUBLE", "1");
        int exit = 2;
        try (Bed bed = new Bed(Path.of(args[0]))) {
            exit = run(bed, trouble);
            bed.note("exit " + exit);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private static int run(Bed bed, String trouble) throws Exception {
        bed.configure(1);
        List<Double> crashes = new CopyOnWriteArrayList<>();
        for (int i = 0; i < 2; i++) {
            addReplica(bed, trouble, "i-" + i, "ab".substring(i, i + 1), 60 + i, crashes);
        }
        Bed.Node first = bed.gateway("front-a-1", "a", 21);
        Bed.Node second = bed.gateway("front-b-1", "b", 22);
        bed.startAll();
        bed.awaitReady();

        byte[] poison = ("CRASH " + bed.newId()).getBytes(StandardCharsets.UTF_8);
        List<Double> reached = new ArrayList<>();
        double end = bed.now() + 60;
        int sent = 0;
        while (bed.now() < end) {
            String attempt = bed.newId();
            int status = call(bed, sent % 2 == 0 ? first : second, attempt, poison);
            sent++;
            if (bed.runsOf(attempt) > 0) {
                reached.add(bed.now());
            }
            if (status == 200 && !trouble.equals("0")) {
                return 2;
            }
            if (status != 200 && trouble.equals("0")) {
                return 2;
            }
            sound(bed, first);
            sound(bed, second);
            Bed.sleep(2500);
        }
        bed.note("%d attempts sent, %d reached a replica, %d crashes".formatted(sent, reached.size(), crashes.size()));
        if (crashes.size() < 3) {
            return trouble.equals("0") ? 0 : 2;
        }
        double from = crashes.get(2) + CONTACT_S;
        long late = reached.stream().filter(at -> at > from).count();
        bed.note(
                "%d attempts reached a replica later than contactMs after the third crash at %.3f; 3 are allowed"
                        .formatted(late, crashes.get(2)));
        return late > 3 ? 1 : 0;
    }

    private static void addReplica(
            Bed bed, String trouble, String id, String zone, int host, List<Double> crashes) throws IOException {
        Bed.Replica replica = bed.replica(id, zone, host, 8, "v1");
        if (trouble.equals("0")) {
            return;
        }
        replica.onCrashRequest =
                () -> {
                    try {
                        replica.crash();
                    } catch (IOException e) {
                        bed.note("crash: " + e);
                    }
                    crashes.add(bed.now());
                    Bed.daemon(
                            () -> {
                                Bed.sleep(DOWN_MS);
                                try {
                                    if (trouble.equals("new-ids")) {
                                        bed.store.remove("servers", id);
                                        addReplica(bed, trouble, id + "x", zone, host, crashes);
                                    } else {
                                        replica.start();
                                    }
                                } catch (IOException e) {
                                    bed.note("restart: " + e);
                                }
                            });
                };
    }

    private static int call(Bed bed, Bed.Node gateway, String attempt, byte[] body) {
        Map<String, String> headers = bed.clientHeaders(attempt);
        headers.put("Sardinelift-Model", "m");
        headers.put("Sardinelift-Token-Count", "250,20");
        headers.put("Sardinelift-Deadline-Ms", "5000");
        String result;
        int status = 0;
        try {
            Bed.Message answer =
                    Bed.request(gateway.ip, bed.callerPort, "POST", "/list/20/q", headers, body, 5000);
            status = answer.status;
            result = status + " " + (status == 200 ? "" : answer.text());
        } catch (IOException e) {
            result = "no answer: " + e.getMessage();
        }
        bed.note("client: request " + attempt + " at " + gateway.name + " -> " + result);
        return status;
    }

    private static void sound(Bed bed, Bed.Node gateway) {
        call(bed, gateway, bed.newId(), ("sound " + bed.newId()).getBytes(StandardCharsets.UTF_8));
    }
}
