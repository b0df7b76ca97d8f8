package org.sardinelift.entry.batch;

import java.time.Duration;
import org.sardinelift.core.batch.ChunkPacker;
import org.sardinelift.core.batch.ItemRetryPolicy;
import org.sardinelift.core.batch.RetentionPolicy;
import org.sardinelift.settings.SettingsNode;

/**
 * Settings of batch work on an entry.
 *
 * @param maxItems largest number of items in one job
 * @param maxBodyBytes largest body of one job, bytes
 * @param maxSubmissions largest number of submissions processed at once
 * @param packer how items are packed into objects
 * @param retry when an item is retried
 * @param loadedChunks chunks in memory at once, including those waiting for the platform
 * @param chunksPerJob chunks of one job in memory at once
 * @param resultBytes estimated size of the results in memory at once, bytes
 * @param maxRunning calls running at once
 * @param itemDeadline time limit of one call
 * @param maxResponseBytes largest response of one call, bytes
 * @param leasePeriod time between renewals of the lease
 * @param leaseValid time for which a renewal is valid for its holder
 * @param leaseTimeout time without a renewal after which others treat the lease as lapsed
 * @param claimPeriod time between searches for jobs to claim
 * @param pumpPeriod time between checks for free slots
 * @param commitDelay time in which results of several chunks are collected for one update
 * @param watchWait longest wait of one watch
 * @param watchPause pause between watches, in which changes accumulate
 * @param storePause first pause after the platform did not answer; doubles each further time
 * @param storeLongestPause longest pause after the platform did not answer
 * @param acceptAttempts attempts at a write before a job is refused
 * @param cancelGrace time for running calls to stop, and for a cancel to be confirmed
 * @param drainTimeout time for loaded chunks to complete when the entry stops
 * @param retryAfter time after which a refused caller should retry
 * @param dataFolder folder of the object cache, empty for none; may be deleted at any time
 * @param dataBytes largest total size of the files in that folder, bytes
 * @param seed seed of the jitter in pauses
 * @param retention when ended jobs are removed
 * @param sweepPause pause between two calls to the platform that remove jobs
 */
public record BatchSettings(
        int maxItems,
        int maxBodyBytes,
        int maxSubmissions,
        ChunkPacker packer,
        ItemRetryPolicy retry,
        int loadedChunks,
        int chunksPerJob,
        int resultBytes,
        int maxRunning,
        Duration itemDeadline,
        int maxResponseBytes,
        Duration leasePeriod,
        Duration leaseValid,
        Duration leaseTimeout,
        Duration claimPeriod,
        Duration pumpPeriod,
        Duration commitDelay,
        Duration watchWait,
        Duration watchPause,
        Duration storePause,
        Duration storeLongestPause,
        int acceptAttempts,
        Duration cancelGrace,
        Duration drainTimeout,
        Duration retryAfter,
        String dataFolder,
        int dataBytes,
        int seed,
        RetentionPolicy retention,
        Duration sweepPause) {
    private static final int MB = 1_000_000;
    private static final long MS_PER_MINUTE = 60_000;
    private static final int WEEK_MINUTES = 10_080;
    private static final int YEAR_MINUTES = 527_040;
    private static final int REMOVAL_HOLD_MS = 600_000;

    /**
     * Returns the settings that apply where the file names none.
     *
     * @return the defaults
     */
    public static BatchSettings defaults() {
        return new BatchSettings(
                89_000,
                32 * MB,
                2,
                new ChunkPacker(500, 32, 900_000),
                new ItemRetryPolicy(4, 10_000, Duration.ofMillis(200), Duration.ofSeconds(30)),
                48,
                4,
                64 * MB,
                2_000,
                Duration.ofMinutes(10),
                500_000,
                Duration.ofMillis(1_500),
                Duration.ofSeconds(4),
                Duration.ofSeconds(6),
                Duration.ofMillis(500),
                Duration.ofMillis(20),
                Duration.ofMillis(250),
                Duration.ofSeconds(3),
                Duration.ofMillis(500),
                Duration.ofMillis(200),
                Duration.ofSeconds(5),
                4,
                Duration.ofSeconds(10),
                Duration.ofSeconds(20),
                Duration.ofSeconds(5),
                "",
                512 * MB,
                1,
                new RetentionPolicy(WEEK_MINUTES * MS_PER_MINUTE, REMOVAL_HOLD_MS),
                Duration.ofMillis(100));
    }

    /**
     * Reads the settings.
     *
     * @param node the object {@code batch} of the settings file
     * @return the settings, with defaults for what is absent
     */
    public static BatchSettings read(SettingsNode node) {
        BatchSettings base = defaults();
        ChunkPacker packer = base.packer();
        ItemRetryPolicy retry = base.retry();
        BatchSettings read =
                new BatchSettings(
                        node.integer("maxItems", base.maxItems, 1, 1_000_000),
                        node.integer("maxBodyBytes", base.maxBodyBytes, 1, 1_000 * MB),
                        node.integer("maxSubmissions", base.maxSubmissions, 1, 1_000),
                        new ChunkPacker(
                                node.integer("chunkItems", packer.maxItems(), 1, 10_000),
                                node.integer(
                                        "chunkUnrepeatable", packer.maxUnrepeatable(), 1, 10_000),
                                node.integer("chunkBytes", packer.maxBytes(), 1_000, 950_000)),
                        new ItemRetryPolicy(
                                node.integer("itemAttempts", retry.maxAttempts(), 1, 100),
                                node.integer("itemPostponements", retry.maxPostponements(), 1, MB),
                                millis(node, "itemPauseMs", retry.initialBackoff()),
                                millis(node, "itemLongestPauseMs", retry.maxBackoff())),
                        node.integer("loadedChunks", base.loadedChunks, 1, 10_000),
                        node.integer("chunksPerJob", base.chunksPerJob, 1, 10_000),
                        node.integer("resultBytes", base.resultBytes, MB, 2_000 * MB),
                        node.integer("maxRunning", base.maxRunning, 1, MB),
                        millis(node, "itemDeadlineMs", base.itemDeadline),
                        node.integer("maxResponseBytes", base.maxResponseBytes, 1, 800_000),
                        millis(node, "leasePeriodMs", base.leasePeriod),
                        millis(node, "leaseValidMs", base.leaseValid),
                        millis(node, "leaseTimeoutMs", base.leaseTimeout),
                        millis(node, "claimPeriodMs", base.claimPeriod),
                        millis(node, "pumpPeriodMs", base.pumpPeriod),
                        millis(node, "commitDelayMs", base.commitDelay),
                        millis(node, "watchWaitMs", base.watchWait),
                        millis(node, "watchPauseMs", base.watchPause),
                        millis(node, "storePauseMs", base.storePause),
                        millis(node, "storeLongestPauseMs", base.storeLongestPause),
                        node.integer("acceptAttempts", base.acceptAttempts, 1, 100),
                        millis(node, "cancelGraceMs", base.cancelGrace),
                        millis(node, "drainTimeoutMs", base.drainTimeout),
                        millis(node, "retryAfterMs", base.retryAfter),
                        node.textOrEmpty("dataFolder"),
                        node.integer("dataBytes", base.dataBytes, MB, Integer.MAX_VALUE),
                        node.integer("seed", base.seed, 0, Integer.MAX_VALUE),
                        retention(node),
                        millis(node, "sweepPauseMs", base.sweepPause));
        check(read, node);
        return read;
    }

    private static RetentionPolicy retention(SettingsNode node) {
        return new RetentionPolicy(
                node.integer("retentionMinutes", WEEK_MINUTES, 1, YEAR_MINUTES) * MS_PER_MINUTE,
                node.integer("removalHoldMs", REMOVAL_HOLD_MS, 1_000, Integer.MAX_VALUE));
    }

    private static void check(BatchSettings read, SettingsNode node) {
        if (read.watchWait.compareTo(read.leaseTimeout) >= 0) {
            node.addError(
                    "watchWaitMs",
                    "less than leaseTimeoutMs",
                    String.valueOf(read.watchWait.toMillis()),
                    "Lower it, so that a lapsed lease is noticed.");
        }
        if (read.leaseValid.compareTo(read.leaseTimeout) >= 0) {
            node.addError(
                    "leaseValidMs",
                    "less than leaseTimeoutMs",
                    String.valueOf(read.leaseValid.toMillis()),
                    "Lower it, so that a holder stops before others claim.");
        }
        if (read.retention.retentionMs() < 2 * read.retention.stepDelayMs()) {
            node.addError(
                    "retentionMinutes",
                    "at least twice removalHoldMs",
                    String.valueOf(read.retention.retentionMs() / MS_PER_MINUTE),
                    "Raise it, so that a submission under way ends long before its removal.");
        }
    }

    /** Time between two steps of a job's removal. */
    Duration removalStepDelay() {
        return Duration.ofMillis(retention.stepDelayMs());
    }

    private static Duration millis(SettingsNode node, String name, Duration fallback) {
        return node.millis(name, Math.toIntExact(fallback.toMillis()));
    }
}
