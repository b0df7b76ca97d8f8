package org.sardinelift.companion.target;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpResponseListener;
import org.sardinelift.protocol.generated.Start;

/** HTTP client that sends calls to the target and resumes interrupted ones. */
public final class TargetClient {
    private static final Set<String> HOP_BY_HOP_HEADERS =
            Set.of(
                    "authorization",
                    "proxy-authorization",
                    "x-api-key",
                    "connection",
                    "content-length",
                    "host",
                    "keep-alive",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");

    private static final String REQUEST_ID = "x-request-id";

    private final HttpClient client;
    private final TargetSettings settings;
    private volatile String incarnation;

    /**
     * Creates a client for one target.
     *
     * @param client HTTP client
     * @param settings settings of the target
     * @param incarnation id of the target's current incarnation
     */
    public TargetClient(HttpClient client, TargetSettings settings, String incarnation) {
        this.client = client;
        this.settings = settings;
        this.incarnation = incarnation;
    }

    /**
     * Sets the incarnation after the target has recovered.
     *
     * @param next id of the new incarnation
     */
    public void setIncarnation(String next) {
        incarnation = next;
    }

    /**
     * Whether the target can resume an interrupted call.
     *
     * @return true if it can
     */
    public boolean canResume() {
        return settings.isModelEngine() && settings.canResume();
    }

    /**
     * Identifies the current incarnation of the target.
     *
     * @return an id that changes with each recovery
     */
    public String incarnation() {
        return incarnation;
    }

    /**
     * Sends a call.
     *
     * @param start the call
     * @param traceparent W3C trace context of the span, empty for none
     * @param listener receives the response
     * @return cancels the call when run
     */
    public Runnable send(Start start, String traceparent, HttpResponseListener listener) {
        byte[] body = start.getBody() == null ? new byte[0] : start.getBody();
        Map<String, String> headers = headers(start);
        addTraceparent(headers, traceparent);
        return client.send(call(start.getMethod(), start.getPath(), headers, body), listener);
    }

    /**
     * Resumes an interrupted call.
     *
     * @param requestId id of the call
     * @param offset number of body bytes already received
     * @param traceparent W3C trace context of the span, empty for none
     * @param listener receives the rest of the response
     * @return cancels the call when run
     */
    public Runnable resume(
            String requestId, long offset, String traceparent, HttpResponseListener listener) {
        String id = URLEncoder.encode(requestId, StandardCharsets.UTF_8);
        Map<String, String> headers = new HashMap<>(Map.of(REQUEST_ID, requestId));
        addTraceparent(headers, traceparent);
        return client.send(
                call("POST", "/resume/" + id + "?offset=" + offset, headers, new byte[0]),
                listener);
    }

    private static void addTraceparent(Map<String, String> headers, String traceparent) {
        if (!traceparent.isEmpty()) {
            headers.put("traceparent", traceparent);
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
                settings.silenceTimeout());
    }

    private static Map<String, String> headers(Start start) {
        Map<String, String> headers = new HashMap<>();
        if (start.getHeaders() != null) {
            start.getHeaders()
                    .forEach(
                            (name, value) -> {
                                if (!HOP_BY_HOP_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
                                    headers.put(name.toLowerCase(Locale.ROOT), value);
                                }
                            });
        }
        headers.put(REQUEST_ID, start.getRequestId());
        return headers;
    }
}
