package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, with the seconds since its start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    synchronized void write(String line) {
        double seconds = (System.nanoTime() - startedAt) / 1e9;
        out.println(String.format(Locale.ROOT, "%8.3f %s", seconds, line));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
