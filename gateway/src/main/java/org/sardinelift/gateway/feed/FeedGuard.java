package org.sardinelift.gateway.feed;

import org.sardinelift.runtime.log.LogEvent;

/** Runs what a feed does with one response of the store, so that a failure doesn't end the feed. */
public final class FeedGuard {
    private FeedGuard() {}

    /**
     * Runs a task; an exception is logged.
     *
     * @param feed name of the feed, for the log
     * @param task what to do with the response
     */
    public static void run(String feed, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LogEvent.of("feed.failed").with("feed", feed).with("reason", e.toString()).error();
        }
    }
}
