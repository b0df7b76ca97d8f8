package org.sardinelift.companion.target;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.sardinelift.core.gate.EngineLoad;
import org.sardinelift.http.BufferedHttpResponse;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;
import org.sardinelift.runtime.ControlThread;

/** Probes the target for its load, one request at a time. Owned by the control thread. */
public final class TargetProbe {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;

    private final ControlThread control;
    private final HttpClient client;
    private final TargetSettings settings;
    private final Consumer<Result> onResult;
    private boolean isProbing;

    /**
     * Result of a probe.
     *
     * @param isAnswered whether the target sent any response
     * @param load its load, if it reports one
     */
    public record Result(boolean isAnswered, Optional<EngineLoad> load) {}

    /**
     * Creates a probe.
     *
     * @param control thread that owns the state
     * @param client HTTP client
     * @param settings settings of the target
     * @param onResult receives each result, on the control thread
     */
    public TargetProbe(
            ControlThread control,
            HttpClient client,
            TargetSettings settings,
            Consumer<Result> onResult) {
        this.control = control;
        this.client = client;
        this.settings = settings;
        this.onResult = onResult;
    }

    /** Sends a probe, unless one is still in flight. */
    public void probeNow() {
        if (isProbing) {
            return;
        }
        isProbing = true;
        HttpCall call =
                HttpCall.of(
                        settings.host(),
                        settings.port(),
                        "GET",
                        settings.probePath(),
                        Map.of(),
                        new byte[0],
                        settings.probeTimeout());
        client.call(call)
                .whenComplete(
                        (response, error) ->
                                control.execute(() -> onProbeEnded(result(response, error))));
    }

    private void onProbeEnded(Result result) {
        isProbing = false;
        onResult.accept(result);
    }

    private Result result(BufferedHttpResponse response, Throwable error) {
        if (error != null || response == null) {
            return new Result(false, Optional.empty());
        }
        return new Result(
                true, response.status() == OK ? parseLoad(response.text()) : Optional.empty());
    }

    private static Optional<EngineLoad> parseLoad(String json) {
        try {
            JsonNode node = MAPPER.readTree(json);
            return Optional.of(
                            new EngineLoad(
                                    node.path("running").asInt(),
                                    node.path("waiting").asInt(),
                                    node.path("slots").asInt(),
                                    node.path("lagMs").asLong()))
                    .filter(load -> node.path("running").isInt());
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}
