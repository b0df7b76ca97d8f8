import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/**
 * Callers with small requests on kept connections, while others send bodies of nearly the largest
 * size that the configuration allows. A request that was passed on from a kept connection must not
 * lose that connection without an answer.
 */
public final class Case12 {
    private static final int SMALL_CALLERS = Integer.getInteger("small", 12);
    private static final int LARGE_CALLERS = Integer.getInteger("large", 40);
    private static final int LARGE_BYTES = 4_000_000;
    private static final int WAVES = Integer.getInteger("waves", 6);

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

    private record Loss(String call, String failure) {}

    private static int run(Fleet fleet, boolean isTrouble) throws Exception {
        fleet.configure(10);
        String[] zones = {"z1", "z2", "z3"};
        for (int i = 0; i < 6; i++) {
            fleet.addReplica("i-" + i, zones[i % 3], "v1").setStream(20, 40);
        }
        for (int i = 0; i < 3; i++) {
            fleet.addWorker("w-" + i, zones[i]);
            fleet.addGateway("g-" + i, zones[i]);
        }
        if (!fleet.awaitReady(30)) {
            return 2;
        }
        Thread.sleep(4_000);
        AtomicInteger number = new AtomicInteger();
        AtomicInteger done = new AtomicInteger();
        ConcurrentLinkedQueue<Loss> lost = new ConcurrentLinkedQueue<>();
        ExecutorService threads = Executors.newCachedThreadPool();
        int port = fleet.gateways.get(0).caller;
        long end = fleet.ms() + 40_000;
        for (int i = 0; i < SMALL_CALLERS; i++) {
            threads.submit(
                    () -> {
                        try (Caller caller = new Caller(port)) {
                            while (fleet.ms() < end) {
                                String id = "small-" + number.incrementAndGet();
                                boolean isKept = caller.isConnected();
                                Caller.Answer answer =
                                        caller.call(
                                                Fleet.STREAM + id, headers(id), new byte[1500],
                                                6_000);
                                if (answer.isComplete) {
                                    done.incrementAndGet();
                                } else if (isKept) {
                                    lost.add(new Loss(id, answer.failure));
                                }
                                if (answer.status != 200 || !answer.isComplete) {
                                    fleet.log(id + " " + answer.status + " " + answer.failure);
                                }
                                Thread.sleep(200);
                            }
                        } catch (InterruptedException e) {
                            return;
                        }
                    });
        }
        Thread.sleep(3_000);
        for (int wave = 0; wave < (isTrouble ? WAVES : 0); wave++) {
            CountDownLatch all = new CountDownLatch(LARGE_CALLERS);
            for (int i = 0; i < LARGE_CALLERS; i++) {
                threads.submit(
                        () -> {
                            String id = "large-" + number.incrementAndGet();
                            try (Caller caller = new Caller(port)) {
                                Caller.Answer answer =
                                        caller.call(
                                                Fleet.STREAM + id, headers(id),
                                                new byte[LARGE_BYTES], 6_000);
                                fleet.log(
                                        id + " " + answer.status + " " + answer.isComplete + " "
                                                + answer.failure);
                            } finally {
                                all.countDown();
                            }
                        });
            }
            all.await();
            Thread.sleep(1_000);
        }
        Thread.sleep(Math.max(0, end - fleet.ms()) + 1_000);
        threads.shutdownNow();
        Set<String> run = fleet.runs.stream().map(Fleet.Run::call).collect(Collectors.toSet());
        List<Loss> passedOn = lost.stream().filter(loss -> run.contains(loss.call())).toList();
        passedOn.forEach(loss -> fleet.log("lost after it was passed on: " + loss));
        System.out.println(
                "complete " + done + ", lost after they were passed on " + passedOn.size()
                        + ", ends of the gateway " + fleet.gateways.get(0).ends);
        return passedOn.size() > 3 ? 1 : 0;
    }

    private static Map<String, String> headers(String id) {
        Map<String, String> headers = Fleet.headers(id);
        headers.remove("Connection");
        headers.put("Sardinelift-Model", "m");
        headers.put("Sardinelift-Token-Count", "350,32");
        headers.put("Sardinelift-Deadline-Ms", "5000");
        return headers;
    }
}
