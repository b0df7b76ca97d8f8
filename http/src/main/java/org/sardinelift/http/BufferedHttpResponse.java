package org.sardinelift.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A complete response.
 *
 * @param status HTTP status code
 * @param headers headers in order
 * @param body body bytes
 */
public record BufferedHttpResponse(
        int status, List<Map.Entry<String, String>> headers, byte[] body) {

    /**
     * First value of a header.
     *
     * @param name header name, any case
     * @return its value, or null if it is absent
     */
    public @Nullable String header(String name) {
        return headers.stream()
                .filter(entry -> entry.getKey().equalsIgnoreCase(name))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElse(null);
    }

    /**
     * The body as text.
     *
     * @return body decoded as UTF-8
     */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
