package org.sardinelift.bench.slope;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.lang.ref.Reference;
import java.util.Arrays;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import java.util.stream.IntStream;

/** Measures medians of processor time and retained heap. */
final class Measurements {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int RUNS = 5;
    private static final long MAX_BATCH = 256;
    private static final int HEAP_RUNS = 3;
    private static final long RUN_NANOS = 60_000_000;
    private static final long WARM_UP_NANOS = 150_000_000;

    private Measurements() {}

    /** Returns the median processor time of one operation on this thread, nanoseconds. */
    static double medianNanos(Runnable operation) {
        meanNanos(operation, WARM_UP_NANOS);
        return median(RUNS, () -> meanNanos(operation, RUN_NANOS));
    }

    /** Returns the median heap retained by a structure, bytes. */
    static double medianHeapBytes(Supplier<?> structure) {
        structure.get();
        return median(HEAP_RUNS, () -> retainedBytes(structure));
    }

    /** Returns the heap in use after a garbage collection, bytes. */
    static long usedHeapBytes() {
        System.gc();
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static double retainedBytes(Supplier<?> structure) {
        long before = usedHeapBytes();
        Object retained = structure.get();
        long after = usedHeapBytes();
        Reference.reachabilityFence(retained);
        return after - before;
    }

    private static double meanNanos(Runnable operation, long minNanos) {
        long start = THREADS.getCurrentThreadCpuTime();
        long elapsed = 0;
        long operations = 0;
        long batch = 1;
        while (elapsed < minNanos) {
            for (long i = 0; i < batch; i++) {
                operation.run();
            }
            operations += batch;
            batch = Math.min(2 * batch, MAX_BATCH);
            elapsed = THREADS.getCurrentThreadCpuTime() - start;
        }
        return (double) elapsed / operations;
    }

    /** Returns the median of values. */
    static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }

    private static double median(int runs, DoubleSupplier run) {
        return median(IntStream.range(0, runs).mapToDouble(i -> run.getAsDouble()).toArray());
    }
}
