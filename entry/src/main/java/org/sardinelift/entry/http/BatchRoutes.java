package org.sardinelift.entry.http;

import java.util.function.IntConsumer;
import org.sardinelift.core.catalog.TeamPlan;
import org.sardinelift.http.HttpExchange;

/** Routes of batch jobs, below {@code /v1/batches}. */
public interface BatchRoutes {

    /**
     * Answers a request, now or later.
     *
     * @param exchange the request; its key has been checked
     * @param team team of the key
     * @param requestId identifier of the request, unique over the fleet
     * @param onAnswered receives the HTTP status code when the response ends
     * @return false if no route matches and the request is left unanswered
     */
    boolean handle(HttpExchange exchange, TeamPlan team, String requestId, IntConsumer onAnswered);
}
