package org.sardinelift.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Set;
import org.sardinelift.standins.Json;

/**
 * Faults that the platform stand-in injects into its responses.
 *
 * @param down whether every call has its connection closed, without a response or an effect
 * @param silent whether calls get no response and have no effect, while connections stay open
 * @param refuse whether every call is refused with status 503 and has no effect
 * @param slowMs delay of each response after the call took effect, in milliseconds
 * @param loseAnswers number of following writes that take effect but get no response
 * @param loseRequests number of following writes that get no response and have no effect
 * @param staleReads whether reads and lists return the version before the newest
 */
public record Faults(
        boolean down,
        boolean silent,
        boolean refuse,
        int slowMs,
        int loseAnswers,
        int loseRequests,
        boolean staleReads) {
    static final Set<String> FIELDS =
            Set.of(
                    "down",
                    "silent",
                    "refuse",
                    "slowMs",
                    "loseAnswers",
                    "loseRequests",
                    "staleReads",
                    "gap");

    /**
     * Returns the setting without any fault.
     *
     * @return faults of a platform that works normally
     */
    public static Faults none() {
        return new Faults(false, false, false, 0, 0, 0, false);
    }

    /**
     * Parses the body of {@code POST /admin/faults}.
     *
     * @param json the fields that differ from {@link #none()}
     * @return the faults
     */
    public static Faults parse(String json) {
        return none().with(Json.parse(json));
    }

    Faults with(JsonNode change) {
        return new Faults(
                change.path("down").asBoolean(down),
                change.path("silent").asBoolean(silent),
                change.path("refuse").asBoolean(refuse),
                change.path("slowMs").asInt(slowMs),
                change.path("loseAnswers").asInt(loseAnswers),
                change.path("loseRequests").asInt(loseRequests),
                change.path("staleReads").asBoolean(staleReads));
    }

    Faults afterLosingAnswer() {
        return new Faults(down, silent, refuse, slowMs, loseAnswers - 1, loseRequests, staleReads);
    }

    Faults afterLosingRequest() {
        return new Faults(down, silent, refuse, slowMs, loseAnswers, loseRequests - 1, staleReads);
    }
}
