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
    /** Bytes of an entry in addition to its texts: names of fields, and their quotes escaped. */
    private static final int ENTRY_BYTES = 200;

    private final JobSpec spec;
    private final Map<String, JobItem> items = new HashMap<>();
    private final Map<String, ItemProgress> open = new LinkedHashMap<>();
    private final List<ItemResult> results = new ArrayList<>();
    private final Map<String, ItemResult> unrecordedResults = new LinkedHashMap<>();
    private final Map<String, Map<String, StringBuilder>> recordedParts = new HashMap<>();
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
     * @param recorded entries of the record
     * @return whether its results were added
     */
    public ApplyResult applyRecord(int number, List<RecordEntry> recorded) {
        if (number < nextRecord) {
            return ApplyResult.DUPLICATE;
        }
        if (number > nextRecord) {
            return ApplyResult.GAP;
        }
        nextRecord++;
        recorded.forEach(this::applyEntry);
        return ApplyResult.APPLIED;
    }

    private void applyEntry(RecordEntry entry) {
        ItemResult result = entry.result();
        String id = result.itemId();
        if (!entry.series().isEmpty() && !open.containsKey(id)) {
            // Another worker has recorded the item between the parts.
            return;
        }
        if (!entry.isLast()) {
            recordedParts
                    .computeIfAbsent(id, key -> new HashMap<>())
                    .computeIfAbsent(entry.series(), key -> new StringBuilder())
                    .append(result.output());
            return;
        }
        String output = recordedPart(id, entry.series()) + result.output();
        results.add(new ItemResult(id, result.outcome(), output));
        open.remove(id);
        unrecordedResults.remove(id);
        recordedParts.remove(id);
    }

    private String recordedPart(String itemId, String series) {
        StringBuilder part = recordedParts.getOrDefault(itemId, Map.of()).get(series);
        return part == null ? "" : part.toString();
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
     * @param maxBytes most bytes of {@link StoredText} in total; the first result is returned
     *     whatever its size
     * @return the results, none if no position from there on is filled
     */
    public List<ItemResult> results(int after, long maxBytes) {
        List<ItemResult> page = new ArrayList<>();
        long bytes = 0;
        for (int i = Math.max(0, after); i < results.size(); i++) {
            bytes += bytes(results.get(i));
            if (!page.isEmpty() && bytes > maxBytes) {
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
     * Returns the entries of the next record: results that wait to be recorded, in the order in
     * which the items ended. A result that is larger than a record is recorded in parts.
     *
     * @param maxBytes most bytes of {@link StoredText} in total
     * @param series marks the parts that this process records
     * @return the entries, none if no result waits
     */
    public List<RecordEntry> nextEntries(long maxBytes, String series) {
        List<RecordEntry> entries = new ArrayList<>();
        long bytes = 0;
        for (ItemResult result : unrecordedResults.values()) {
            bytes += bytes(result);
            if (bytes > maxBytes) {
                return entries.isEmpty() ? List.of(nextPart(result, maxBytes, series)) : entries;
            }
            entries.add(RecordEntry.whole(result));
        }
        return entries;
    }

    private RecordEntry nextPart(ItemResult result, long maxBytes, String series) {
        String output = result.output();
        int begin = recordedPart(result.itemId(), series).length();
        long left = Math.max(maxBytes / 2, maxBytes - bytes(result) + StoredText.bytes(output));
        int end = begin < output.length() ? StoredText.partEnd(output, begin, left) : begin;
        ItemResult part =
                new ItemResult(result.itemId(), result.outcome(), output.substring(begin, end));
        return RecordEntry.part(part, series, end == output.length());
    }

    private static long bytes(ItemResult result) {
        return StoredText.bytes(result.output()) + StoredText.bytes(result.itemId()) + ENTRY_BYTES;
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
