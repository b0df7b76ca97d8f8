package org.sardinelift.entry.filter;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.entry.call.CallSpec;

/** Prevents callers' keys from being passed to targets. */
final class KeyGuard {
    private static final Set<String> ALLOWED_HEADERS =
            Set.of(
                    "accept",
                    "accept-language",
                    "content-language",
                    "content-type",
                    "if-match",
                    "if-none-match");
    private static final Set<String> KEY_PARAMETERS =
            Set.of(
                    "key",
                    "apikey",
                    "accesskey",
                    "token",
                    "accesstoken",
                    "authtoken",
                    "authorization",
                    "auth",
                    "bearer",
                    "secret",
                    "password",
                    "credential",
                    "signature",
                    "sig");
    private static final String KEY_PREFIX = "sl_";

    private KeyGuard() {}

    /** Returns the headers that a target may see: an allow-list, as any other may contain a key. */
    static Map<String, String> allowedHeaders(Iterable<Map.Entry<String, String>> received) {
        Map<String, String> allowed = new LinkedHashMap<>();
        received.forEach(
                header -> {
                    String name = header.getKey().toLowerCase(Locale.ROOT);
                    if (ALLOWED_HEADERS.contains(name)) {
                        allowed.putIfAbsent(name, header.getValue());
                    }
                });
        return allowed;
    }

    /** Removes query parameters that could contain a key. */
    static String removeKeyParameters(String pathAndQuery) {
        int queryStart = pathAndQuery.indexOf('?');
        if (queryStart < 0) {
            return pathAndQuery;
        }
        String keptParameters =
                Arrays.stream(pathAndQuery.substring(queryStart + 1).split("&"))
                        .filter(parameter -> !mayContainKey(parameter))
                        .collect(Collectors.joining("&"));
        String path = pathAndQuery.substring(0, queryStart);
        return keptParameters.isEmpty() ? path : path + "?" + keptParameters;
    }

    /** Returns a problem if the path, allowed headers or body still contain the caller's key. */
    static Optional<Problem> findLeak(CallContext call) {
        if (call.key().isEmpty()) {
            return Optional.empty();
        }
        String key = call.key().get();
        CallSpec spec = call.spec();
        boolean hasLeak =
                decoded(spec.path()).contains(key)
                        || spec.headers().values().stream().anyMatch(value -> value.contains(key));
        return hasLeak ? keyLeaked() : findBodyLeak(call);
    }

    /** Returns a problem if the body contains the caller's key. */
    static Optional<Problem> findBodyLeak(CallContext call) {
        boolean hasLeak =
                call.key()
                        .map(key -> key.getBytes(StandardCharsets.UTF_8))
                        .filter(key -> contains(call.exchange().body(), key))
                        .isPresent();
        return hasLeak ? keyLeaked() : Optional.empty();
    }

    private static Optional<Problem> keyLeaked() {
        return Optional.of(
                Problem.notRun(
                        ProblemKind.MALFORMED_REQUEST,
                        "the path, a header or the body contains the caller's key; send it"
                                + " in the Authorization header only"));
    }

    private static boolean mayContainKey(String parameter) {
        String text = decoded(parameter);
        int end = text.indexOf('=');
        String name = (end < 0 ? text : text.substring(0, end)).toLowerCase(Locale.ROOT);
        return KEY_PARAMETERS.contains(name.replaceAll("[^a-z]", "")) || text.contains(KEY_PREFIX);
    }

    private static String decoded(String text) {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return text;
        }
    }

    private static boolean contains(byte[] body, byte[] key) {
        for (int start = 0; start <= body.length - key.length; start++) {
            int match = 0;
            while (match < key.length && body[start + match] == key[match]) {
                match++;
            }
            if (match == key.length) {
                return true;
            }
        }
        return false;
    }
}
