package org.sardinelift.companion.target;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.sardinelift.companion.order.OrderExecutor;
import org.sardinelift.http.HttpAnswer;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;
import org.sardinelift.protocol.generated.Order;

/** Orders to the target over HTTP, and the models that it has loaded. */
public final class TargetControlClient implements OrderExecutor {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final byte[] NO_BODY = {};

    private final HttpClient client;
    private final TargetSettings settings;

    /**
     * Makes a way for orders.
     *
     * @param client HTTP client
     * @param settings the target
     */
    public TargetControlClient(HttpClient client, TargetSettings settings) {
        this.client = client;
        this.settings = settings;
    }

    @Override
    public CompletableFuture<Result> execute(Order order) {
        String body =
                MAPPER.createObjectNode()
                        .put("action", order.getAction())
                        .put("subject", order.getSubject())
                        .put("version", order.getVersion())
                        .put("holder", order.getHolder())
                        .toString();
        Map<String, String> headers = new HashMap<>(Map.of("content-type", "application/json"));
        if (!order.isSetChecksFence() || order.isChecksFence()) {
            headers.put("fence", String.valueOf(order.getFence()));
        }
        return client.call(call("POST", "/orders", headers, body.getBytes(StandardCharsets.UTF_8)))
                .handle(
                        (answer, error) ->
                                error == null
                                        ? new Result(answer.status() == OK, answer.text())
                                        : new Result(false, "no answer: " + error.getMessage()));
    }

    /**
     * Asks which models and adapters are loaded, in which versions, and the role.
     *
     * @return what the target says; the settings' models where it does not tell
     */
    public CompletableFuture<LoadedModels> models() {
        LoadedModels untold = LoadedModels.ofNames(settings.models());
        if (!settings.isModelEngine()) {
            return CompletableFuture.completedFuture(untold);
        }
        return client.call(call("GET", "/v1/models", Map.of(), NO_BODY))
                .handle(
                        (answer, error) ->
                                error == null && answer.status() == OK ? read(answer) : untold);
    }

    private LoadedModels read(HttpAnswer answer) {
        try {
            JsonNode body = MAPPER.readTree(answer.text());
            Map<String, String> versions = new TreeMap<>();
            List<String> names = new ArrayList<>();
            body.path("data")
                    .forEach(
                            model -> {
                                String name = model.path("id").asText();
                                names.add(name);
                                if (model.has("version")) {
                                    versions.put(name, model.path("version").asText());
                                }
                            });
            return new LoadedModels(names, versions, body.path("role").asText());
        } catch (JsonProcessingException e) {
            return LoadedModels.ofNames(settings.models());
        }
    }

    private HttpCall call(String method, String uri, Map<String, String> headers, byte[] body) {
        return HttpCall.of(
                settings.host(),
                settings.port(),
                method,
                uri,
                headers,
                body,
                settings.orderTimeout());
    }
}
