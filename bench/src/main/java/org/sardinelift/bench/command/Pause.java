package org.sardinelift.bench.command;

import java.util.concurrent.locks.LockSupport;

/** Waits between the parts of a measurement. */
final class Pause {
    private Pause() {}

    static void sleepNanos(long duration) {
        long end = System.nanoTime() + duration;
        while (System.nanoTime() - end < 0) {
            LockSupport.parkNanos(end - System.nanoTime());
        }
    }
}
