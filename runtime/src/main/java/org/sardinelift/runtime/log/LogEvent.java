package org.sardinelift.runtime.log;

import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** Builder of one structured log line: a named event with its values. */
public final class LogEvent {
    /** Prefix of messages that are already JSON members; the writer adds them unquoted. */
    static final String JSON_MARKER = "\u0001";

    private final StringBuilder line = new StringBuilder(128);

    private LogEvent(String name) {
        line.append(JSON_MARKER).append(",\"event\":\"").append(name).append('"');
    }

    /**
     * Starts a line.
     *
     * @param name name of the event, such as {@code call.refused}
     * @return the line
     */
    public static LogEvent of(String name) {
        return new LogEvent(name);
    }

    /**
     * Adds a text.
     *
     * @param key name of the value
     * @param value the value; null omits it
     * @return this line
     */
    public LogEvent with(String key, @Nullable String value) {
        if (value != null) {
            appendKey(key);
            JsonText.append(line, value);
        }
        return this;
    }

    /**
     * Adds a number.
     *
     * @param key name of the value, with its unit
     * @param value the value
     * @return this line
     */
    public LogEvent with(String key, long value) {
        appendKey(key).append(value);
        return this;
    }

    /**
     * Adds a boolean.
     *
     * @param key name of the value
     * @param value the value
     * @return this line
     */
    public LogEvent with(String key, boolean value) {
        appendKey(key).append(value);
        return this;
    }

    private StringBuilder appendKey(String key) {
        return line.append(",\"").append(key).append("\":");
    }

    /** Logs the line at level info: a decision or a normal event. */
    public void info() {
        Logger.info((Object) line.toString());
    }

    /** Logs the line at level warn: a problem that the system handles. */
    public void warn() {
        Logger.warn((Object) line.toString());
    }

    /** Logs the line at level error: an unexpected failure. */
    public void error() {
        Logger.error((Object) line.toString());
    }
}
