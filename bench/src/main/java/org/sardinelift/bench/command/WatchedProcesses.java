package org.sardinelift.bench.command;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.sardinelift.bench.load.ProcessSample;
import org.sardinelift.bench.report.Report;

/**
 * Processes whose resource usage is measured.
 *
 * @param processes names and ids
 */
record WatchedProcesses(List<WatchedProcess> processes) {
    private static final double BYTES_PER_MIB = 1_048_576;

    /** A process to measure. */
    record WatchedProcess(String name, long pid) {}

    static WatchedProcesses parse(String text) {
        return new WatchedProcesses(
                Stream.of(text.split(","))
                        .filter(each -> !each.isBlank())
                        .map(each -> each.split("=", 2))
                        .map(parts -> new WatchedProcess(parts[0], Long.parseLong(parts[1])))
                        .toList());
    }

    List<ProcessSample> sample() throws IOException {
        List<ProcessSample> samples = new ArrayList<>();
        for (WatchedProcess each : processes) {
            samples.add(ProcessSample.read(each.pid()));
        }
        return samples;
    }

    /** Waits and adds the usage of the processes during the wait. */
    void measureIdle(Report report, Duration duration) throws IOException {
        if (processes.isEmpty()) {
            return;
        }
        List<ProcessSample> before = sample();
        Pause.sleepNanos(duration.toNanos());
        addUsage(report, "idle", before);
    }

    /** Adds the usage of the processes since an earlier sample. */
    void addUsage(Report report, String state, List<ProcessSample> before) throws IOException {
        List<ProcessSample> after = sample();
        for (int i = 0; i < processes.size(); i++) {
            String group = processes.get(i).name() + " " + state;
            ProcessSample now = after.get(i);
            report.add(group, "cores", now.coresSince(before.get(i)), "cores");
            report.add(group, "resident", now.residentBytes() / BYTES_PER_MIB, "MiB");
            report.add(
                    group, "read and write calls", now.ioBytesPerSecondSince(before.get(i)), "B/s");
        }
    }
}
