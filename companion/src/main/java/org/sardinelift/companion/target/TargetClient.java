package org.sardinelift.companion.target;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.sardinelift.http.HttpAnswerListener;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;
import org.sardinelift.protocol.generated.Start;

/** Sends calls to the target. */
public final class TargetClient {
    private static final Set<String> HOP_HEADERS =
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
     * Makes a link to a target.
     *
     * @param client HTTP client
     * @param settings the target
     * @param incarnation names the target's life
     */
    public TargetClient(HttpClient client, TargetSettings settings, String incarnation) {
        this.client = client;
        this.settings = settings;
        this.incarnation = incarnation;
    }

    /**
     * The target has recovered.
     *
     * @param next names the target's life from now on
     */
    public void incarnation(String next) {
        incarnation = next;
    }

    /**
     * Whether the target goes on with calls that were cut.
     *
     * @return true where it does
     */
    public boolean canResume() {
        return settings.isModelEngine() && settings.resume();
    }

    /**
     * Names the target since its last recovery.
     *
     * @return another text after each recovery
     */
    public String incarnation() {
        return incarnation;
    }

    /**
     * Sends a call.
     *
     * @param start the call
     * @param traceparent W3C trace context of the hop, empty for none
     * @param listener receives the answer
     * @return cancels the call when run
     */
    public Runnable send(Start start, String traceparent, HttpAnswerListener listener) {
        byte[] body = start.getBody() == null ? new byte[0] : start.getBody();
        Map<String, String> headers = headers(start);
        trace(headers, traceparent);
        return client.send(call(start.getMethod(), start.getPath(), headers, body), listener);
    }

    /**
     * Goes on with a call that was cut.
     *
     * @param requestId the call
     * @param offset body bytes that are here already
     * @param traceparent W3C trace context of the hop, empty for none
     * @param listener receives the rest of the answer
     * @return cancels the call when run
     */
    public Runnable resume(
            String requestId, long offset, String traceparent, HttpAnswerListener listener) {
        String id = URLEncoder.encode(requestId, StandardCharsets.UTF_8);
        Map<String, String> headers = new HashMap<>(Map.of(REQUEST_ID, requestId));
        trace(headers, traceparent);
        return client.send(
                call("POST", "/resume/" + id + "?offset=" + offset, headers, new byte[0]),
                listener);
    }

    private static void trace(Map<String, String> headers, String traceparent) {
        if (!traceparent.isEmpty()) {
            headers.put("traceparent", traceparent);
        }
    }

    private HttpCall call(String method, String uri, Map<String, String> headers, byte[] body) {
        return HttpCall.of(
                settings.host(), settings.port(), method, uri, headers, body, settings.silence());
    }

    private static Map<String, String> headers(Start start) {
        Map<String, String> headers = new HashMap<>();
        if (start.getHeaders() != null) {
            start.getHeaders()
                    .forEach(
                            (name, value) -> {
                                if (!HOP_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
                                    headers.put(name.toLowerCase(Locale.ROOT), value);
                                }
                            });
        }
        headers.put(REQUEST_ID, start.getRequestId());
        return headers;
    }
}
