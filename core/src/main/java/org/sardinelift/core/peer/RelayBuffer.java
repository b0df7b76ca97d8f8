package org.sardinelift.core.peer;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Buffers the reports that a relay still has to pass on, the newest of each sender.
 *
 * <p>If each instance reported to each other one, the reports would grow with the square of the
 * fleet, and most of them would cross zones. With relays, the changes of a whole zone leave it in
 * one message to each other zone, so they grow with the number of instances and the square of the
 * number of zones. Not thread-safe.
 */
public final class RelayBuffer {
    private final int maxBytes;
    private final Map<String, byte[]> reports = new LinkedHashMap<>();

    private RelayBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Creates an empty buffer.
     *
     * @param maxBytes maximum size of the reports in one message
     * @return the buffer
     */
    public static RelayBuffer create(int maxBytes) {
        return new RelayBuffer(maxBytes);
    }

    /**
     * Adds a report, which replaces an earlier one of its sender.
     *
     * @param sender name of the instance that sent it
     * @param report the report as received
     */
    public void put(String sender, byte[] report) {
        reports.put(sender, report);
    }

    /**
     * Returns whether there is nothing to pass on.
     *
     * @return true if there are no reports
     */
    public boolean isEmpty() {
        return reports.isEmpty();
    }

    /**
     * Removes all reports, grouped into messages. A report longer than the maximum has a message of
     * its own.
     *
     * @return the reports of each message, none of which is empty
     */
    public List<List<byte[]>> drain() {
        List<List<byte[]>> messages = new ArrayList<>();
        int usedBytes = maxBytes;
        for (byte[] report : reports.values()) {
            if (usedBytes + report.length > maxBytes) {
                messages.add(new ArrayList<>());
                usedBytes = 0;
            }
            messages.get(messages.size() - 1).add(report);
            usedBytes += report.length;
        }
        reports.clear();
        return messages;
    }
}
