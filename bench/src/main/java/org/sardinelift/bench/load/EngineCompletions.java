package org.sardinelift.bench.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletionException;
import org.sardinelift.http.BufferedHttpResponse;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;

/** Reads the number of calls that engine stand-ins have completed, from all callers. */
public final class EngineCompletions {
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(5);
    private static final int OK = 200;
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private EngineCompletions() {}

    /**
     * Adds up the counters of all engines.
     *
     * @param client HTTP client to send with
     * @param engines the engines
     * @return calls completed so far, or empty if an engine has no counters
     */
    public static OptionalLong read(HttpClient client, List<Endpoint> engines) {
        long total = 0;
        for (Endpoint engine : engines) {
            OptionalLong completed = read(client, engine);
            if (completed.isEmpty()) {
                return completed;
            }
            total += completed.getAsLong();
        }
        return engines.isEmpty() ? OptionalLong.empty() : OptionalLong.of(total);
    }

    private static OptionalLong read(HttpClient client, Endpoint engine) {
        HttpCall call =
                HttpCall.of(
                        engine.host(),
                        engine.port(),
                        "GET",
                        "/admin/counters",
                        Map.of(),
                        new byte[0],
                        READ_TIMEOUT);
        try {
            BufferedHttpResponse answer = client.call(call).join();
            return answer.status() == OK
                    ? OptionalLong.of(MAPPER.readTree(answer.text()).path("completed").asLong())
                    : OptionalLong.empty();
        } catch (CompletionException | JsonProcessingException e) {
            return OptionalLong.empty();
        }
    }
}
