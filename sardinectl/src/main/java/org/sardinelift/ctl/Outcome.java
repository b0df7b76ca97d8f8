package org.sardinelift.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Outcome of a command.
 *
 * @param code exit code
 * @param json result as JSON
 * @param text result as text
 */
public record Outcome(ExitCode code, JsonNode json, String text) {

    /**
     * Creates the outcome of a command that succeeded.
     *
     * @param json result as JSON
     * @param text result as text
     * @return the outcome
     */
    public static Outcome ok(JsonNode json, String text) {
        return new Outcome(ExitCode.OK, json, text);
    }

    /**
     * Creates the outcome of a command that failed.
     *
     * @param code exit code
     * @param problem what failed
     * @param remedy how to correct it
     * @return the outcome
     */
    public static Outcome failed(ExitCode code, String problem, String remedy) {
        ObjectNode json =
                Json.newObject()
                        .put("error", code.name().toLowerCase(java.util.Locale.ROOT))
                        .put("detail", problem)
                        .put("remedy", remedy);
        return new Outcome(code, json, problem + ". " + remedy);
    }
}
