package org.sardinelift.entry.batch;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.batch.ChunkResult;
import org.sardinelift.core.outcome.RunOutcome;

/** One chunk of a job in memory: its items and their results. */
final class ChunkRun {
    private final int number;
    private final List<ItemRun> items = new ArrayList<>();
    private final @Nullable ResultLine[] lines;
    private int openItems;
    private int resultBytes;
    private boolean sealed;

    ChunkRun(JobRun run, int number, List<BatchItem> batchItems) {
        this.number = number;
        this.lines = new ResultLine[batchItems.size()];
        this.openItems = batchItems.size();
        for (int index = 0; index < batchItems.size(); index++) {
            items.add(new ItemRun(run, this, index, batchItems.get(index)));
        }
    }

    int number() {
        return number;
    }

    List<ItemRun> items() {
        return items;
    }

    /** Approximate size of the results so far, bytes. */
    int resultBytes() {
        return resultBytes;
    }

    int openItems() {
        return openItems;
    }

    /** Whether the results were packed and can no longer change. */
    boolean sealed() {
        return sealed;
    }

    /** Records the result of an item; only the first one counts. */
    boolean recordEnd(int index, ResultLine line) {
        if (sealed || lines[index] != null) {
            return false;
        }
        lines[index] = line;
        resultBytes += line.json().length();
        openItems--;
        return true;
    }

    /** Records all open items as cancelled. */
    void cancelOpenItems() {
        items.forEach(
                item -> {
                    if (lines[item.index()] == null) {
                        RunOutcome outcome =
                                item.wasStarted() ? RunOutcome.UNKNOWN : RunOutcome.NOT_RUN;
                        recordEnd(
                                item.index(),
                                ResultLine.cancelled(item.item().customId(), outcome));
                    }
                });
    }

    boolean hasUncancelledItems() {
        return Arrays.stream(lines)
                .anyMatch(line -> line != null && line.status() != ResultLine.Status.CANCELLED);
    }

    /** Packs the results into object values; no result is accepted after that. */
    List<String> seal(int maxBytes) {
        sealed = true;
        List<String> parts = new ArrayList<>();
        StringBuilder part = new StringBuilder();
        int size = 0;
        for (ResultLine line : lines) {
            String json = Objects.requireNonNull(line).json();
            int bytes = json.getBytes(StandardCharsets.UTF_8).length + 1;
            if (size > 0 && size + bytes > maxBytes) {
                parts.add(part.toString());
                part.setLength(0);
                size = 0;
            }
            part.append(json).append('\n');
            size += bytes;
        }
        parts.add(part.toString());
        return parts;
    }

    ChunkResult result(String writeId, int parts) {
        return new ChunkResult(
                writeId,
                parts,
                count(ResultLine.Status.COMPLETED),
                count(ResultLine.Status.FAILED),
                count(ResultLine.Status.CANCELLED));
    }

    private int count(ResultLine.Status ending) {
        return (int)
                Arrays.stream(lines)
                        .filter(line -> line != null && line.status() == ending)
                        .count();
    }
}
