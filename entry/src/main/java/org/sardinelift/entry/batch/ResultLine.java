package org.sardinelift.entry.batch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.core.outcome.RunOutcome;

/**
 * Final result of an item.
 *
 * @param status count that the item adds to
 * @param json line that callers read
 */
record ResultLine(Status status, String json) {
    private static final int MIN_SUCCESS_STATUS = 200;
    private static final int MIN_REDIRECT_STATUS = 300;

    /** The counts that an item can add to. */
    enum Status {
        COMPLETED,
        FAILED,
        CANCELLED
    }

    /** Creates the line of an item that a target answered. */
    static ResultLine answered(String customId, int status, byte[] body) {
        boolean success = status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS;
        ObjectNode node = BatchJson.newObject().put("custom_id", customId);
        ObjectNode response = node.putObject("response").put("status_code", status);
        String text = new String(body, StandardCharsets.UTF_8);
        try {
            response.set("body", BatchJson.parse(text));
        } catch (JsonProcessingException e) {
            response.put("body", text);
        }
        if (success) {
            node.putNull("error");
        } else {
            error(
                    node,
                    Problem.failed(
                            ProblemKind.TARGET_FAILED,
                            RunOutcome.RUN,
                            "the target answered with status " + status));
        }
        return new ResultLine(success ? Status.COMPLETED : Status.FAILED, node.toString());
    }

    /** Creates the line of an item that failed without a response. */
    static ResultLine failed(String customId, Problem problem) {
        return new ResultLine(Status.FAILED, withoutAnswer(customId, problem));
    }

    /** Creates the line of an item that was cancelled. */
    static ResultLine cancelled(String customId, RunOutcome outcome) {
        Problem problem = Problem.failed(ProblemKind.CANCELLED, outcome, "the batch was cancelled");
        return new ResultLine(Status.CANCELLED, withoutAnswer(customId, problem));
    }

    private static String withoutAnswer(String customId, Problem problem) {
        ObjectNode node = BatchJson.newObject().put("custom_id", customId);
        node.putNull("response");
        error(node, problem);
        return node.toString();
    }

    private static void error(ObjectNode node, Problem problem) {
        node.putObject("error")
                .put("kind", problem.kind().label())
                .put("outcome", problem.outcome().label())
                .put("detail", problem.detail());
    }
}
