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
 * Writes each log entry as one JSON object per line to standard output, from its own thread, so
 * that logging never blocks on the reader of the output. Registered with tinylog as {@code
 * structured}.
 */
public final class StructuredWriter implements Writer {
    /** Average lines per second: the lines of one request times the requests of a busy entry. */
    private static final double LINES_PER_SECOND = 400;

    /** Lines of a burst, about two seconds. */
    private static final double BURST_LINES = 2_000;

    private static final int MAX_WAITING_LINES = 10_000;

    /** Time between writes: saves wake-ups; only lines of this interval are lost at a kill. */
    private static final long WRITE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final LineBuffer buffer =
            new LineBuffer(LINES_PER_SECOND, BURST_LINES, MAX_WAITING_LINES, System.nanoTime());
    private final FileOutputStream out = new FileOutputStream(FileDescriptor.out);
    private final Thread thread;
    private volatile boolean isIdle;

    /**
     * Creates the writer and starts its thread; called by tinylog.
     *
     * @param properties settings of the writer; none are used
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
        boolean isImportant = entry.getLevel().compareTo(Level.WARN) >= 0;
        buffer.add(format(entry), isImportant, System.nanoTime());
        if (isIdle) {
            LockSupport.unpark(thread);
        }
    }

    private static String format(LogEntry entry) {
        StringBuilder line = new StringBuilder(128);
        line.append("{\"time\":\"").append(Instant.ofEpochMilli(System.currentTimeMillis()));
        line.append("\",\"level\":\"")
                .append(entry.getLevel().name().toLowerCase(java.util.Locale.ROOT))
                .append('"');
        String message = String.valueOf(entry.getMessage());
        if (message.startsWith(LogEvent.JSON_MARKER)) {
            line.append(message, LogEvent.JSON_MARKER.length(), message.length());
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

    /** The error and its top stack frame; a full stack trace would hide the other lines. */
    private static String describe(Throwable error) {
        StackTraceElement[] stack = error.getStackTrace();
        return error + (stack.length == 0 ? "" : " at " + stack[0]);
    }

    private void writeLoop() {
        while (!Thread.currentThread().isInterrupted()) {
            writeWaiting();
            LockSupport.parkNanos(WRITE_INTERVAL_NANOS);
            String text = drainText();
            if (text.isEmpty()) {
                isIdle = true;
                LockSupport.parkNanos(this, TimeUnit.SECONDS.toNanos(1));
                isIdle = false;
            } else {
                writeText(text);
            }
        }
    }

    private void writeWaiting() {
        String text = drainText();
        if (!text.isEmpty()) {
            writeText(text);
        }
    }

    private String drainText() {
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

    private synchronized void writeText(String text) {
        try {
            out.write(text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException ignored) {
            // The output is closed; there is no other place to report it.
        }
    }

    @Override
    public void flush() {
        // The writer thread writes the lines.
    }

    @Override
    public void close() {
        thread.interrupt();
        writeWaiting();
    }
}
