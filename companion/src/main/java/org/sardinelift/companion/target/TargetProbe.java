package org.sardinelift.companion.target;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.sardinelift.core.gate.EngineLoad;
import org.sardinelift.http.HttpAnswer;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;
import org.sardinelift.runtime.ControlThread;

/** Asks the target for its load, one question at a time. Owned by the control thread. */
public final class TargetProbe {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;

    private final ControlThread control;
    private final HttpClient client;
    private final TargetSettings settings;
    private final Consumer<Result> onResult;
    private boolean asking;

    /**
     * What a probe found.
     *
     * @param answered whether the target answered at all
     * @param load its load, where it reports one
     */
    public record Result(boolean answered, Optional<EngineLoad> load) {}

    /**
     * Makes a probe that has asked nothing yet.
     *
     * @param control owner of the state
     * @param client HTTP client
     * @param settings the target
     * @param onResult takes each result, on the control thread
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

    /** Asks now, unless a question is open. */
    public void ask() {
        if (asking) {
            return;
        }
        asking = true;
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
                .whenComplete((answer, error) -> control.execute(() -> end(result(answer, error))));
    }

    private void end(Result result) {
        asking = false;
        onResult.accept(result);
    }

    private Result result(HttpAnswer answer, Throwable error) {
        if (error != null || answer == null) {
            return new Result(false, Optional.empty());
        }
        return new Result(true, answer.status() == OK ? load(answer.text()) : Optional.empty());
    }

    private static Optional<EngineLoad> load(String json) {
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
