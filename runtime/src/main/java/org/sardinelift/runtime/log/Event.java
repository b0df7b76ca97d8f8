package org.sardinelift.runtime.log;

import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** One structured log line: a named event and the values that decided it. */
public final class Event {
    /** Begins a message that is a part of a JSON object already. */
    static final String JSON_MARKER = "\u0001";

    private final StringBuilder line = new StringBuilder(128);

    private Event(String name) {
        line.append(JSON_MARKER).append(",\"event\":\"").append(name).append('"');
    }

    /**
     * Begins a line.
     *
     * @param name name of the event, such as {@code call.refused}
     * @return the line
     */
    public static Event of(String name) {
        return new Event(name);
    }

    /**
     * Adds a text.
     *
     * @param key name of the value
     * @param value the value; null leaves it out
     * @return this line
     */
    public Event with(String key, @Nullable String value) {
        if (value != null) {
            key(key);
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
    public Event with(String key, long value) {
        key(key).append(value);
        return this;
    }

    /**
     * Adds a truth value.
     *
     * @param key name of the value
     * @param value the value
     * @return this line
     */
    public Event with(String key, boolean value) {
        key(key).append(value);
        return this;
    }

    private StringBuilder key(String key) {
        return line.append(",\"").append(key).append("\":");
    }

    /** Logs the line: something was decided. */
    public void info() {
        Logger.info((Object) line.toString());
    }

    /** Logs the line: something is wrong and the system goes on. */
    public void warn() {
        Logger.warn((Object) line.toString());
    }

    /** Logs the line: something failed that should not. */
    public void error() {
        Logger.error((Object) line.toString());
    }
}
