import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers with small requests, while others send bodies of nearly the largest size that the
 * configuration allows, each within the time that it allows. Of the requests that have no answer at
 * the timeout of their route, at least half need one within half a second. Without the disruption
 * the large bodies are small ones.
 */
public final class Case12 {
    private static final int SMALL_CALLERS = 12;
    private static final int LARGE_CALLERS = 30;
    private static final int LARGE_BYTES = 4_000_000;
    private static final int UPLOAD_MS = 2_500;
    private static final int UPLOAD_STEPS = 50;
    private static final int TROUBLE_MS = 30_000;
    private static final int TIMEOUT_MS = 5_000;

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
        for (int i = 0; i < 9; i++) {
            fleet.addReplica("i-" + i, zones[i % 3], "v1").setStream(30, 20);
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
        AtomicInteger number = new AtomicInteger();
        AtomicInteger done = new AtomicInteger();
        AtomicInteger atTimeout = new AtomicInteger();
        AtomicInteger late = new AtomicInteger();
        AtomicInteger uploads = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        ExecutorService threads = Executors.newCachedThreadPool();
        Fleet.Proc gateway = fleet.gateways.get(0);
        long end = fleet.ms() + TROUBLE_MS + 8_000;
        for (int i = 0; i < SMALL_CALLERS; i++) {
            threads.submit(
                    () -> {
                        try (Caller caller = new Caller(gateway.caller)) {
                            while (fleet.ms() < end) {
                                String id = "small-" + number.incrementAndGet();
                                long at = fleet.ms();
                                Caller.Answer answer =
                                        caller.call(
                                                Fleet.STREAM + id, headers(id), new byte[1_500],
                                                TIMEOUT_MS + 3_000);
                                long ms = fleet.ms() - at;
                                done.incrementAndGet();
                                atTimeout.addAndGet(ms >= TIMEOUT_MS ? 1 : 0);
                                late.addAndGet(ms >= TIMEOUT_MS + 500 ? 1 : 0);
                                fleet.log(
                                        id + " " + answer.status + " "
                                                + (answer.isComplete ? "complete" : answer.failure)
                                                + " after " + ms + " ms");
                                Thread.sleep(200);
                            }
                        } catch (InterruptedException e) {
                            return;
                        }
                    });
        }
        Thread.sleep(3_000);
        long troubleEnd = fleet.ms() + TROUBLE_MS;
        for (int i = 0; i < LARGE_CALLERS; i++) {
            threads.submit(
                    () -> {
                        while (fleet.ms() < troubleEnd) {
                            String id = "large-" + number.incrementAndGet();
                            long at = fleet.ms();
                            String result;
                            try {
                                result = upload(gateway.caller, id, isTrouble ? LARGE_BYTES : 5_000);
                            } catch (Exception e) {
                                result = String.valueOf(e);
                            }
                            uploads.incrementAndGet();
                            served.addAndGet(result.contains(" 200 ") ? 1 : 0);
                            fleet.log(id + " " + result + " after " + (fleet.ms() - at) + " ms");
                        }
                    });
        }
        Thread.sleep(Math.max(0, end - fleet.ms()) + 8_500);
        threads.shutdownNow();
        System.out.println(
                "small requests " + done + ", unanswered at their timeout " + atTimeout
                        + ", and half a second later " + late + "; uploads " + uploads
                        + ", answered 200 " + served + "; ready at the end " + gateway.isReady()
                        + ", ends " + gateway.ends);
        return late.get() >= 8 && late.get() * 2 > atTimeout.get() ? 1 : 0;
    }

    /** Sends a body over some time and reads the answer to its end; returns its first line. */
    private static String upload(int port, String id, int bytes) throws Exception {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setSoTimeout(TIMEOUT_MS + 3_000);
            OutputStream out = socket.getOutputStream();
            StringBuilder head = new StringBuilder("POST " + Fleet.STREAM + id + " HTTP/1.1\r\n");
            Map<String, String> headers = headers(id);
            headers.put("Connection", "close");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            head.append("Content-Length: " + bytes + "\r\n\r\n");
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            byte[] part = new byte[bytes / UPLOAD_STEPS];
            for (int i = 0; i < UPLOAD_STEPS; i++) {
                out.write(part);
                out.flush();
                Thread.sleep(UPLOAD_MS / UPLOAD_STEPS);
            }
            InputStream in = socket.getInputStream();
            String answer = new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
            return answer.isEmpty() ? "closed" : answer.substring(0, answer.indexOf('\r'));
        }
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
