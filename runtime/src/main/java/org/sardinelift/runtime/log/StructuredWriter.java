package org.sardinelift.runtime.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Writes each log entry as one JSON object on a line of standard output, from a thread of its own:
 * whoever logs never waits for the reader of the output. Registered with tinylog as {@code
 * structured}.
 */
public final class StructuredWriter implements Writer {
    /** Lines a second on average: what one request leaves, times the requests of a busy entry. */
    private static final double LINES_PER_SECOND = 400;

    /** Lines at once, about two seconds of a burst. */
    private static final double BURST = 2_000;

    private static final int MAX_WAITING = 10_000;

    /** Time between two writes: fewer wake-ups, and no line is lost but at a kill. */
    private static final long WRITE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final LineBuffer buffer =
            new LineBuffer(LINES_PER_SECOND, BURST, MAX_WAITING, System.nanoTime());
    private final FileOutputStream out = new FileOutputStream(FileDescriptor.out);
    private final Thread thread;
    private volatile boolean idle;

    /**
     * Called by tinylog.
     *
     * @param properties settings of the writer, none
     */
    public StructuredWriter(Map<String, String> properties) {
        thread = new Thread(this::writeLoop, "log-writer");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(LogEntryValue.LEVEL, LogEntryValue.MESSAGE, LogEntryValue.EXCEPTION);
    }

    @Override
    public void write(LogEntry entry) {
        boolean important = entry.getLevel().compareTo(Level.WARN) >= 0;
        buffer.add(line(entry), important, System.nanoTime());
        if (idle) {
            LockSupport.unpark(thread);
        }
    }

    private static String line(LogEntry entry) {
        StringBuilder line = new StringBuilder(128);
        line.append("{\"time\":\"").append(Instant.ofEpochMilli(System.currentTimeMillis()));
        line.append("\",\"level\":\"")
                .append(entry.getLevel().name().toLowerCase(java.util.Locale.ROOT))
                .append('"');
        String message = String.valueOf(entry.getMessage());
        if (message.startsWith(Event.JSON_MARKER)) {
            line.append(message, Event.JSON_MARKER.length(), message.length());
        } else {
            line.append(",\"event\":\"message\",\"text\":");
            JsonText.append(line, message);
        }
        Throwable error = entry.getException();
        if (error != null) {
            line.append(",\"error\":");
            JsonText.append(line, describe(error));
        }
        return line.append('}').toString();
    }

    /** The error and the place it comes from; a whole stack would drown the other lines. */
    private static String describe(Throwable error) {
        StackTraceElement[] stack = error.getStackTrace();
        return error + (stack.length == 0 ? "" : " at " + stack[0]);
    }

    private void writeLoop() {
        while (!Thread.currentThread().isInterrupted()) {
            writeWaiting();
            LockSupport.parkNanos(WRITE_INTERVAL_NANOS);
            String text = text();
            if (text.isEmpty()) {
                idle = true;
                LockSupport.parkNanos(this, TimeUnit.SECONDS.toNanos(1));
                idle = false;
            } else {
                emit(text);
            }
        }
    }

    private void writeWaiting() {
        String text = text();
        if (!text.isEmpty()) {
            emit(text);
        }
    }

    private String text() {
        long dropped = buffer.drainDroppedCount();
        String text = buffer.drain();
        return dropped == 0
                ? text
                : text
                        + "{\"time\":\""
                        + Instant.ofEpochMilli(System.currentTimeMillis())
                        + "\",\"level\":\"warn\",\"event\":\"log.dropped\",\"lines\":"
                        + dropped
                        + "}\n";
    }

    private synchronized void emit(String text) {
        try {
            out.write(text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException ignored) {
            // Nobody reads the output any more; there is no other place to say so.
        }
    }

    @Override
    public void flush() {
        // Lines are written by their own thread.
    }

    @Override
    public void close() {
        thread.interrupt();
        writeWaiting();
    }
}
