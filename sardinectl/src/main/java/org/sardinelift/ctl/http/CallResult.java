package org.sardinelift.ctl.http;

import com.fasterxml.jackson.databind.JsonNode;
import org.sardinelift.ctl.ExitCode;
import org.sardinelift.ctl.Json;
import org.sardinelift.ctl.Outcome;

/** Result of a call to an entry. */
public sealed interface CallResult {

    /**
     * The call was answered.
     *
     * @param text answer body
     */
    record Answered(String text) implements CallResult {
        /**
         * Parses the body as JSON.
         *
         * @return the root, or a missing node if the body is not JSON
         */
        public JsonNode json() {
            return Json.parseOrMissing(text);
        }
    }

    /**
     * The call was refused.
     *
     * @param status HTTP status
     * @param body answer body, normally problem details (RFC 9457)
     */
    record Refused(int status, String body) implements CallResult {}

    /**
     * The call was not answered.
     *
     * @param reason why there is no answer
     * @param mayHaveRun whether the call may have taken effect
     */
    record Unanswered(String reason, boolean mayHaveRun) implements CallResult {}

    /**
     * Returns the outcome of a command whose call was refused or not answered.
     *
     * @param result the result, not {@link Answered}
     * @param address address of the server
     * @return the outcome
     */
    static Outcome failureOutcome(CallResult result, Address address) {
        if (result instanceof Refused refused) {
            JsonNode problem = Json.parseOrMissing(refused.body());
            String text =
                    problem.has("kind")
                            ? problem.path("detail").asText(problem.path("title").asText())
                                    + " ("
                                    + problem.path("kind").asText()
                                    + ", "
                                    + problem.path("outcome").asText()
                                    + "). "
                                    + problem.path("remedy").asText()
                            : "status " + refused.status() + ": " + refused.body();
            JsonNode json =
                    problem.isObject()
                            ? problem
                            : Json.newObject()
                                    .put("status", refused.status())
                                    .put("body", refused.body());
            return new Outcome(ExitCode.REFUSED, json, address + " refused: " + text);
        }
        Unanswered unanswered = (Unanswered) result;
        return Outcome.failed(
                ExitCode.UNREACHABLE,
                "No answer from " + address + ": " + unanswered.reason(),
                unanswered.mayHaveRun()
                        ? "The call may have taken effect; check that before you repeat it."
                        : "The call had no effect; check the address and try again.");
    }
}
