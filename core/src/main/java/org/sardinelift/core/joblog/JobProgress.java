package org.sardinelift.core.joblog;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** A job with the results of the records that this worker knows. Not thread-safe. */
public final class JobProgress {
    private final JobSpec spec;
    private final Map<String, JobItem> items = new HashMap<>();
    private final Map<String, ItemProgress> open = new LinkedHashMap<>();
    private final List<ItemResult> results = new ArrayList<>();
    private final Map<String, ItemResult> unrecordedResults = new LinkedHashMap<>();
    private int nextRecord;
    private boolean isEnded;

    private JobProgress(JobSpec spec) {
        this.spec = spec;
        spec.items()
                .forEach(
                        item -> {
                            items.put(item.id(), item);
                            open.put(item.id(), new ItemProgress(item));
                        });
    }

    /**
     * Creates the progress of a job without results.
     *
     * @param spec the job
     * @return its progress
     */
    public static JobProgress of(JobSpec spec) {
        return new JobProgress(spec);
    }

    /**
     * Returns the job.
     *
     * @return its specification
     */
    public JobSpec spec() {
        return spec;
    }

    /**
     * Returns the number of the first record not applied yet.
     *
     * @return record number, from 0
     */
    public int nextRecord() {
        return nextRecord;
    }

    /** Result of applying a record. */
    public enum ApplyResult {
        /** It was the next record, and its results were added. */
        APPLIED,
        /** It had been applied before. */
        DUPLICATE,
        /** Records before it are missing. */
        GAP
    }

    /**
     * Applies a record.
     *
     * @param number number of the record
     * @param recorded results in the record
     * @return whether its results were added
     */
    public ApplyResult applyRecord(int number, List<ItemResult> recorded) {
        if (number < nextRecord) {
            return ApplyResult.DUPLICATE;
        }
        if (number > nextRecord) {
            return ApplyResult.GAP;
        }
        nextRecord++;
        recorded.forEach(
                result -> {
                    results.add(result);
                    open.remove(result.itemId());
                    unrecordedResults.remove(result.itemId());
                });
        return ApplyResult.APPLIED;
    }

    /**
     * Counts the filled positions.
     *
     * @return number of results recorded
     */
    public int filledPositions() {
        return results.size();
    }

    /**
     * Returns results from a position on.
     *
     * @param after first position
     * @param maxChars most characters of output in total; the first result is returned whatever its
     *     length
     * @return the results, none if no position from there on is filled
     */
    public List<ItemResult> results(int after, int maxChars) {
        List<ItemResult> page = new ArrayList<>();
        int chars = 0;
        for (int i = Math.max(0, after); i < results.size(); i++) {
            chars += results.get(i).output().length();
            if (!page.isEmpty() && chars > maxChars) {
                break;
            }
            page.add(results.get(i));
        }
        return page;
    }

    /** Ends the job at the caller's request, so that none of its items runs any more. */
    public void end() {
        isEnded = true;
    }

    /**
     * Whether the caller has ended the job.
     *
     * @return true once it was ended
     */
    public boolean hasEnded() {
        return isEnded;
    }

    /**
     * Whether nothing is left to run or to record.
     *
     * @return true if each item has a position or the job was ended
     */
    public boolean isClosed() {
        return isEnded || open.isEmpty();
    }

    /**
     * An item has ended on this worker; its result counts once it is recorded.
     *
     * @param result the result
     */
    public void onResult(ItemResult result) {
        if (open.containsKey(result.itemId())) {
            unrecordedResults.putIfAbsent(result.itemId(), result);
        }
    }

    /**
     * Returns results that wait to be recorded.
     *
     * @param maxChars most characters of output in total; the first result is returned whatever its
     *     length
     * @return the results in the order in which the items ended
     */
    public List<ItemResult> unrecordedResults(int maxChars) {
        List<ItemResult> batch = new ArrayList<>();
        int chars = 0;
        for (ItemResult result : unrecordedResults.values()) {
            chars += result.output().length();
            if (!batch.isEmpty() && chars > maxChars) {
                break;
            }
            batch.add(result);
        }
        return batch;
    }

    /**
     * Returns the items that have no result, recorded or not.
     *
     * @return their progress, none once the job was ended
     */
    public Stream<ItemProgress> openItems() {
        return isEnded
                ? Stream.empty()
                : open.values().stream()
                        .filter(item -> !unrecordedResults.containsKey(item.item().id()));
    }

    /**
     * Sums the tokens of the items that have no result, as far as this worker knows.
     *
     * @return number of tokens, 0 once the job was ended
     */
    public long waitingTokens() {
        return openItems().mapToLong(item -> item.item().tokens()).sum();
    }

    /**
     * Finds an item that has no position yet.
     *
     * @param itemId id of the item
     * @return its progress, or empty
     */
    public Optional<ItemProgress> openItem(String itemId) {
        return Optional.ofNullable(open.get(itemId));
    }

    /**
     * Finds an item, whether or not it has ended.
     *
     * @param itemId id of the item
     * @return the item, or empty if the job has none with that id
     */
    public Optional<JobItem> item(String itemId) {
        return Optional.ofNullable(items.get(itemId));
    }
}
