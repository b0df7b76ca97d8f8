package org.sardinelift.gateway.feed;

import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.WatchResult;
import org.sardinelift.objects.WriteResult;
import org.sardinelift.runtime.log.LogEvent;

/** Tracks whether the platform's store answers this instance, and logs changes. */
public final class StoreAvailability {
    private boolean isAvailable = true;
    private boolean isKnown;
    private long regainedAt;

    /**
     * Records the result of a read.
     *
     * @param result the result
     */
    public void onResult(ReadResult result) {
        updateAvailability(result instanceof ReadResult.Unavailable failed ? failed.reason() : "");
    }

    /**
     * Records the result of a list.
     *
     * @param result the result
     */
    public void onResult(ListResult result) {
        updateAvailability(result instanceof ListResult.Unavailable failed ? failed.reason() : "");
    }

    /**
     * Records the result of a watch.
     *
     * @param result the result
     */
    public void onResult(WatchResult result) {
        updateAvailability(result instanceof WatchResult.Unavailable failed ? failed.reason() : "");
    }

    /**
     * Records the result of a write.
     *
     * @param result the result
     */
    public void onResult(WriteResult result) {
        if (result instanceof WriteResult.NotWritten failed) {
            // A store that rejects the content of a write is available.
            updateAvailability(failed.isRejected() ? "" : failed.reason());
        } else {
            updateAvailability(result instanceof WriteResult.Unclear failed ? failed.reason() : "");
        }
    }

    private synchronized void updateAvailability(String failure) {
        long now = System.nanoTime();
        boolean isAvailableNow = failure.isEmpty();
        if (isAvailableNow != isAvailable || !isKnown) {
            LogEvent event =
                    LogEvent.of(isAvailableNow ? "store.regained" : "store.lost")
                            .with("reason", failure.isEmpty() ? null : failure);
            if (isAvailableNow) {
                event.info();
            } else {
                event.warn();
            }
        }
        if (isAvailableNow && !isAvailable) {
            regainedAt = now;
        }
        isKnown = true;
        isAvailable = isAvailableNow;
    }

    /**
     * Whether the last call was answered.
     *
     * @return false before the first answer and while calls fail
     */
    public synchronized boolean isAvailable() {
        return isAvailable && isKnown;
    }

    /**
     * Time since the store answered again after failures.
     *
     * @return nanoseconds; {@code Long.MAX_VALUE} if it has not failed
     */
    public synchronized long nanosSinceRegained() {
        return regainedAt == 0 ? Long.MAX_VALUE : System.nanoTime() - regainedAt;
    }
}
