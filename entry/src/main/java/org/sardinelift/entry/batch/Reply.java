package org.sardinelift.entry.batch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.entry.filter.ProblemWriter;

/**
 * A complete HTTP response to a caller.
 *
 * @param status HTTP status code
 * @param body JSON body
 * @param retryAfter pause before a retry, if a retry makes sense
 */
record Reply(int status, ObjectNode body, Optional<Duration> retryAfter) {

    static Reply of(int status, ObjectNode body) {
        return new Reply(status, body, Optional.empty());
    }

    /** Creates a response with problem details (RFC 9457). */
    static Reply problem(Problem problem) {
        ObjectNode node =
                (ObjectNode)
                        BatchJson.parseStored(
                                ProblemWriter.toJson(UUID.randomUUID().toString(), problem));
        return new Reply(problem.kind().status(), node, problem.retryAfter());
    }

    Reply withField(String field, JsonNode value) {
        ObjectNode extended = body.deepCopy();
        extended.set(field, value);
        return new Reply(status, extended, retryAfter);
    }

    boolean isProblem() {
        return body.has("remedy");
    }
}
