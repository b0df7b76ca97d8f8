import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A gateway is stopped with SIGTERM while callers hold kept connections, over which they send
 * streams of less than the route's timeout. Exit codes: 0 the rule held, 1 it was broken, 2 the case
 * couldn't run.
 */
public final class DrainWindow {
    /** Kept connections; the first half is idle at the SIGTERM, the others carry a stream. */
    private static final int CONNECTIONS = 8;

    private static final int IDLE = CONNECTIONS / 2;
    private static final int SENT_AFTER_MS = 3_060;
    private static final int GRACE_MS = 8_000;
    private static final int EVENTS = 90;

    /** A stream that begins 4.3 s after the SIGTERM and is complete within graceS. */
    private static final int SECOND_EVENTS = 66;

    private DrainWindow() {}

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
            bed.replica("i-" + i, "ab".substring(i % 2, i % 2 + 1), 60 + i, 8, "v1").eventMs = 50;
        }
        Bed.Node first = bed.gateway("front-a-1", "a", 21);
        bed.gateway("front-b-1", "b", 22);
        bed.startAll();
        bed.awaitReady();

        List<Socket> kept = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress(first.ip, bed.callerPort), 1000);
            socket.setTcpNoDelay(true);
            kept.add(socket);
            if (!exchange(bed, socket, 2, i).startsWith("whole")) {
                return 2;
            }
        }
        List<String> results = new CopyOnWriteArrayList<>();
        List<Thread> callers = new ArrayList<>();
        for (int i = IDLE; i < CONNECTIONS; i++) {
            int number = i;
            callers.add(
                    Bed.daemon(
                            () -> {
                                results.add(exchange(bed, kept.get(number), EVENTS, number));
                                results.add(exchange(bed, kept.get(number), SECOND_EVENTS, number));
                            }));
        }
        Bed.sleep(300);
        long start = System.nanoTime();
        if (isTroubled) {
            first.signal("TERM");
            Bed.daemon(
                    () -> {
                        Bed.sleep(GRACE_MS);
                        if (first.process.isAlive()) {
                            bed.note("SIGKILL " + first.name + " after graceS");
                            first.process.destroyForcibly();
                        }
                    });
        }
        Bed.sleep(SENT_AFTER_MS - (System.nanoTime() - start) / 1_000_000);
        for (int i = 0; i < IDLE; i++) {
            int number = i;
            callers.add(Bed.daemon(() -> results.add(exchange(bed, kept.get(number), EVENTS, number))));
        }
        for (Thread each : callers) {
            each.join();
        }
        long cut = results.stream().filter(result -> result.startsWith("cut")).count();
        long unread = results.stream().filter(result -> result.startsWith("closed")).count();
        bed.note(
                "%d requests whole, %d cut after a replica had begun, %d closed unread"
                        .formatted(results.size() - cut - unread, cut, unread));
        return cut > 0 ? 1 : 0;
    }

    /** Sends a request over a kept connection and reads the stream. */
    private static String exchange(Bed bed, Socket socket, int events, int number) {
        String attempt = bed.newId();
        Map<String, String> headers = bed.clientHeaders(attempt);
        headers.put("Sardinelift-Model", "m");
        headers.put("Sardinelift-Token-Count", "250," + events);
        headers.put("Sardinelift-Deadline-Ms", "5000");
        double sentAt = bed.now();
        String result;
        try {
            socket.setSoTimeout(6000);
            Bed.send(
                    socket.getOutputStream(),
                    "POST",
                    "/list/" + events + "/q",
                    headers,
                    ("q " + attempt).getBytes(StandardCharsets.UTF_8));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Bed.Message answer = Bed.head(in);
            if (answer == null) {
                result = "closed without an answer";
            } else {
                Bed.body(in, answer);
                boolean isLast = answer.text().contains("id: " + events + "\n");
                result = (isLast ? "whole: " : "cut: incomplete ") + answer.first;
            }
        } catch (IOException e) {
            result = "closed: " + e.getMessage();
        }
        if (result.startsWith("closed") && bed.runsOf(attempt) > 0) {
            result = "cut: " + result;
        }
        bed.note(
                String.format(
                        Locale.ROOT,
                        "client: connection %d, request %s of %d events, sent at %.3f, -> %s after %.0f ms",
                        number, attempt, events, sentAt, result, (bed.now() - sentAt) * 1000));
        return result;
    }
}
