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
import org.sardinelift.http.BufferedHttpResponse;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;
import org.sardinelift.protocol.generated.Order;

/** HTTP client that sends orders to the target and fetches the list of its loaded models. */
public final class TargetControlClient implements OrderExecutor {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final byte[] NO_BODY = {};

    private final HttpClient client;
    private final TargetSettings settings;

    /**
     * Creates a client for one target.
     *
     * @param client HTTP client
     * @param settings settings of the target
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
                        (response, error) ->
                                error == null
                                        ? new Result(response.status() == OK, response.text())
                                        : new Result(
                                                false,
                                                "no response from the target: "
                                                        + error.getMessage()));
    }

    /**
     * Fetches the loaded models and adapters, their versions, and the target's role.
     *
     * @return the target's response; the configured models without versions if there is none
     */
    public CompletableFuture<LoadedModels> fetchModels() {
        LoadedModels configured = LoadedModels.ofNames(settings.models());
        if (!settings.isModelEngine()) {
            return CompletableFuture.completedFuture(configured);
        }
        return client.call(call("GET", "/v1/models", Map.of(), NO_BODY).repeatable())
                .handle(
                        (response, error) ->
                                error == null && response.status() == OK
                                        ? read(response)
                                        : configured);
    }

    private LoadedModels read(BufferedHttpResponse response) {
        try {
            JsonNode body = MAPPER.readTree(response.text());
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
