package org.sardinelift.bench.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Resource usage of one process since its start, from {@code /proc}.
 *
 * @param pid process id
 * @param atNanos time of the reading, {@link System#nanoTime()}
 * @param cpuSeconds processor time, all threads
 * @param residentBytes resident memory
 * @param ioBytes bytes passed by read and write calls, sockets included
 */
public record ProcessSample(
        long pid, long atNanos, double cpuSeconds, long residentBytes, long ioBytes) {
    private static final double TICKS_PER_SECOND = 100;
    private static final int USER_TICKS_FIELD = 11;
    private static final int SYSTEM_TICKS_FIELD = 12;
    private static final long BYTES_PER_KB = 1_024;
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Reads the usage of a process.
     *
     * @param pid process id
     * @return the usage
     * @throws IOException if there is no such process
     */
    public static ProcessSample read(long pid) throws IOException {
        Path folder = Path.of("/proc", Long.toString(pid));
        String stat = Files.readString(folder.resolve("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        double ticks =
                Double.parseDouble(fields[USER_TICKS_FIELD])
                        + Double.parseDouble(fields[SYSTEM_TICKS_FIELD]);
        List<String> io = Files.readAllLines(folder.resolve("io"));
        return new ProcessSample(
                pid,
                System.nanoTime(),
                ticks / TICKS_PER_SECOND,
                value(Files.readAllLines(folder.resolve("status")), "VmRSS:") * BYTES_PER_KB,
                value(io, "rchar:") + value(io, "wchar:"));
    }

    /**
     * Returns the cores used since an earlier sample.
     *
     * @param earlier the earlier sample of the same process
     * @return processor seconds per second
     */
    public double coresSince(ProcessSample earlier) {
        return (cpuSeconds - earlier.cpuSeconds) / secondsSince(earlier);
    }

    /**
     * Returns the bytes read and written per second since an earlier sample.
     *
     * @param earlier the earlier sample of the same process
     * @return bytes per second, both directions together
     */
    public double ioBytesPerSecondSince(ProcessSample earlier) {
        return (ioBytes - earlier.ioBytes) / secondsSince(earlier);
    }

    private double secondsSince(ProcessSample earlier) {
        return (atNanos - earlier.atNanos) / NANOS_PER_SECOND;
    }

    private static long value(List<String> lines, String label) {
        return lines.stream()
                .filter(line -> line.startsWith(label))
                .map(line -> line.substring(label.length()).replace("kB", "").strip())
                .mapToLong(Long::parseLong)
                .findFirst()
                .orElse(0);
    }
}
