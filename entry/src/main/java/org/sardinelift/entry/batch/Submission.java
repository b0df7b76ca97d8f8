package org.sardinelift.entry.batch;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.sardinelift.core.catalog.Catalog;
import org.sardinelift.core.catalog.TeamPlan;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;

/** Checks the body of a submitted job as a whole before anything is written. */
final class Submission {
    private static final int MAX_LINES_WITH_REASON = 1_000;

    private final BatchSettings settings;
    private final ItemParser reader;
    private final List<StoredLine> items = new ArrayList<>();
    private final Digests content = Digests.create();
    private final Set<String> customIds = new HashSet<>();
    private final ArrayNode invalid = BatchJson.newObject().putArray("lines");
    private int invalidLines;

    private Submission(BatchSettings settings, ItemParser reader) {
        this.settings = settings;
        this.reader = reader;
    }

    /** A line to be stored. */
    record StoredLine(String json, boolean isRepeatable) {
        int bytes() {
            return json.getBytes(StandardCharsets.UTF_8).length + 1;
        }
    }

    /** Outcome of the check. */
    sealed interface CheckResult {
        /** A job that can be accepted. */
        record Valid(List<List<StoredLine>> chunks, String digest) implements CheckResult {}

        /** A job that cannot be accepted. */
        record Refused(Reply reply) implements CheckResult {}
    }

    static CheckResult check(byte[] body, BatchSettings settings, Catalog catalog, TeamPlan team) {
        if (body.length > settings.maxBodyBytes()) {
            return refused(
                    ProblemKind.BODY_TOO_LARGE,
                    "the body exceeds " + settings.maxBodyBytes() + " bytes");
        }
        String text;
        try {
            text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body)).toString();
        } catch (CharacterCodingException e) {
            return refused(ProblemKind.MALFORMED_REQUEST, "the body is not UTF-8");
        }
        return new Submission(settings, new ItemParser(catalog, team)).check(text);
    }

    private CheckResult check(String text) {
        int number = 0;
        int start = 0;
        while (start <= text.length()) {
            int newline = text.indexOf('\n', start);
            int end = newline < 0 ? text.length() : newline;
            String line = text.substring(start, end);
            number++;
            if (!line.isBlank()) {
                add(number, line);
            }
            start = end + 1;
        }
        if (invalidLines > 0) {
            Problem problem =
                    Problem.notRun(
                            ProblemKind.INVALID_LINES,
                            invalidLines + " lines can't be accepted; nothing was");
            return new CheckResult.Refused(Reply.problem(problem).withField("lines", invalid));
        }
        if (items.isEmpty()) {
            return refused(ProblemKind.MALFORMED_REQUEST, "the body holds no lines");
        }
        if (items.size() > settings.maxItems()) {
            return refused(
                    ProblemKind.BODY_TOO_LARGE,
                    "the job has more than " + settings.maxItems() + " items; split it");
        }
        return new CheckResult.Valid(
                settings.packer().pack(items, StoredLine::bytes, StoredLine::isRepeatable),
                content.hexDigest());
    }

    private void add(int number, String line) {
        ItemParser.ParsedLine read = reader.parse(line);
        if (read instanceof ItemParser.ParsedLine.Invalid bad) {
            invalid(number, bad.reason());
        } else if (read instanceof ItemParser.ParsedLine.Valid valid) {
            BatchItem item = valid.item();
            StoredLine stored = new StoredLine(item.storedLine(), item.isRepeatable());
            if (stored.bytes() > settings.packer().maxBytes()) {
                invalid(number, "longer than " + settings.packer().maxBytes() + " bytes");
            } else if (!customIds.add(item.customId())) {
                invalid(number, "custom_id " + item.customId() + " was used by a line before");
            } else {
                items.add(stored);
                content.update(stored.json() + "\n");
            }
        }
    }

    private void invalid(int number, String reason) {
        invalidLines++;
        var node = invalid.addObject().put("line", number);
        if (invalidLines <= MAX_LINES_WITH_REASON) {
            node.put("reason", reason);
        }
    }

    private static CheckResult refused(ProblemKind kind, String detail) {
        return new CheckResult.Refused(Reply.problem(Problem.notRun(kind, detail)));
    }
}
