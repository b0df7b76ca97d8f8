package org.sardinelift.core.joblog;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * A job and its results as far as this worker knows its records. Not safe for use by several
 * threads at once.
 */
public final class JobProgress {
    private final JobSpec spec;
    private final Map<String, JobItem> items = new HashMap<>();
    private final Map<String, ItemProgress> open = new LinkedHashMap<>();
    private final List<ItemResult> results = new ArrayList<>();
    private final Map<String, ItemResult> unrecordedResults = new LinkedHashMap<>();
    private int nextRecord;
    private boolean ended;

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
     * A job without results.
     *
     * @param spec the job
     * @return its progress
     */
    public static JobProgress of(JobSpec spec) {
        return new JobProgress(spec);
    }

    /**
     * The job.
     *
     * @return its specification
     */
    public JobSpec spec() {
        return spec;
    }

    /**
     * Number of the first record that isn't known here.
     *
     * @return record number, from 0
     */
    public int nextRecord() {
        return nextRecord;
    }

    /** What a record told. */
    public enum ApplyResult {
        /** It was the next one. */
        APPLIED,
        /** It was known. */
        DUPLICATE,
        /** Records before it are missing here. */
        GAP
    }

    /**
     * Takes a record.
     *
     * @param number its number
     * @param recorded its results
     * @return what it told
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
     * Positions that are filled.
     *
     * @return their number
     */
    public int filledPositions() {
        return results.size();
    }

    /**
     * Results from a position on.
     *
     * @param after first position
     * @param maxChars longest output of all of them; the first is given whatever its length
     * @return the results, none where no position from there on is filled
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

    /** The caller has ended the job: nothing of it is to run any more. */
    public void end() {
        ended = true;
    }

    /**
     * Whether the caller has ended the job.
     *
     * @return true from the end on
     */
    public boolean hasEnded() {
        return ended;
    }

    /**
     * Whether nothing is left to run or to record.
     *
     * @return true where each item has a position, or the job was ended
     */
    public boolean isClosed() {
        return ended || open.isEmpty();
    }

    /**
     * An item has ended here; its result counts once it is recorded.
     *
     * @param result the result
     */
    public void onResult(ItemResult result) {
        if (open.containsKey(result.itemId())) {
            unrecordedResults.putIfAbsent(result.itemId(), result);
        }
    }

    /**
     * Results that wait to be recorded.
     *
     * @param maxChars longest output of all of them; the first is given whatever its length
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
     * Items that have no result, recorded or not.
     *
     * @return their progress, none once the job was ended
     */
    public Stream<ItemProgress> openItems() {
        return ended
                ? Stream.empty()
                : open.values().stream()
                        .filter(item -> !unrecordedResults.containsKey(item.item().id()));
    }

    /**
     * An item that has no position yet.
     *
     * @param itemId its name
     * @return its progress, or empty
     */
    public Optional<ItemProgress> openItem(String itemId) {
        return Optional.ofNullable(open.get(itemId));
    }

    /**
     * Looks an item up, whether or not it has ended.
     *
     * @param itemId its name
     * @return the item, or empty where the job has none of that name
     */
    public Optional<JobItem> item(String itemId) {
        return Optional.ofNullable(items.get(itemId));
    }
}
