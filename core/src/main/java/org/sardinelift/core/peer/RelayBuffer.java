package org.sardinelift.core.peer;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reports that an instance has still to pass on, the newest of each sender.
 *
 * <p>Load answered: reports from each instance to each other one grow with the square of the fleet,
 * and most of them cross zones. Here the changes of a whole zone leave it in one message to each
 * other zone, so that they grow with the instances and with the square of the zones. Not safe for
 * use by several threads at once.
 */
public final class RelayBuffer {
    private final int maxBytes;
    private final Map<String, byte[]> reports = new LinkedHashMap<>();

    private RelayBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * An empty buffer.
     *
     * @param maxBytes bytes of the reports that one message takes
     * @return the buffer
     */
    public static RelayBuffer create(int maxBytes) {
        return new RelayBuffer(maxBytes);
    }

    /**
     * Takes a report; it replaces an earlier one of its sender.
     *
     * @param sender name of the instance that sent it
     * @param report the report as it came
     */
    public void put(String sender, byte[] report) {
        reports.put(sender, report);
    }

    /**
     * Whether there is nothing to pass on.
     *
     * @return true without reports
     */
    public boolean isEmpty() {
        return reports.isEmpty();
    }

    /**
     * Takes all reports out.
     *
     * @return the reports of each message, none of which is empty
     */
    public List<List<byte[]>> drain() {
        List<List<byte[]>> messages = new ArrayList<>();
        int used = maxBytes;
        for (byte[] report : reports.values()) {
            if (used + report.length > maxBytes) {
                messages.add(new ArrayList<>());
                used = 0;
            }
            messages.get(messages.size() - 1).add(report);
            used += report.length;
        }
        reports.clear();
        return messages;
    }
}
