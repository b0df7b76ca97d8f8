package org.sardinelift.gateway.feed;

import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.WatchResult;
import org.sardinelift.objects.WriteResult;
import org.sardinelift.runtime.log.Event;

/** Whether the platform's store answers this instance; logs when that changes. */
public final class StoreAvailability {
    private boolean isAvailable = true;
    private boolean known;
    private long answeredAt;
    private long regainedAt;

    /**
     * Notes the outcome of a read.
     *
     * @param result the outcome
     */
    public void onResult(ReadResult result) {
        onResult(result instanceof ReadResult.Unavailable failed ? failed.reason() : "");
    }

    /**
     * Notes the outcome of a list.
     *
     * @param result the outcome
     */
    public void onResult(ListResult result) {
        onResult(result instanceof ListResult.Unavailable failed ? failed.reason() : "");
    }

    /**
     * Notes the outcome of a watch.
     *
     * @param result the outcome
     */
    public void onResult(WatchResult result) {
        onResult(result instanceof WatchResult.Unavailable failed ? failed.reason() : "");
    }

    /**
     * Notes the outcome of a write.
     *
     * @param result the outcome
     */
    public void onResult(WriteResult result) {
        if (result instanceof WriteResult.NotWritten failed) {
            onResult(failed.reason());
        } else {
            onResult(result instanceof WriteResult.Unclear failed ? failed.reason() : "");
        }
    }

    private synchronized void onResult(String failure) {
        long now = System.nanoTime();
        boolean answersNow = failure.isEmpty();
        if (answersNow != isAvailable || !known) {
            Event event =
                    Event.of(answersNow ? "store.regained" : "store.lost")
                            .with("reason", failure.isEmpty() ? null : failure);
            if (answersNow) {
                event.info();
            } else {
                event.warn();
            }
        }
        if (answersNow && !isAvailable) {
            regainedAt = now;
        }
        if (answersNow) {
            answeredAt = now;
        }
        known = true;
        isAvailable = answersNow;
    }

    /**
     * Whether the last call was answered.
     *
     * @return false while calls fail
     */
    public synchronized boolean isAvailable() {
        return isAvailable && known;
    }

    /**
     * Time since the store answered last.
     *
     * @return nanoseconds
     */
    public synchronized long nanosSinceAnswer() {
        return System.nanoTime() - answeredAt;
    }

    /**
     * Time since the store came back after failures.
     *
     * @return nanoseconds; very long where it has not failed
     */
    public synchronized long nanosSinceRegained() {
        return regainedAt == 0 ? Long.MAX_VALUE : System.nanoTime() - regainedAt;
    }
}
