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

/** Keeps callers' keys away from targets. */
final class KeyGuard {
    private static final Set<String> PASSED_HEADERS =
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

    /** Headers that a target may see: an allow-list, since any other may carry a key. */
    static Map<String, String> allowedHeaders(Iterable<Map.Entry<String, String>> received) {
        Map<String, String> passed = new LinkedHashMap<>();
        received.forEach(
                header -> {
                    String name = header.getKey().toLowerCase(Locale.ROOT);
                    if (PASSED_HEADERS.contains(name)) {
                        passed.putIfAbsent(name, header.getValue());
                    }
                });
        return passed;
    }

    /** Drops query parameters that could carry a key. */
    static String removeKeyParameters(String pathAndQuery) {
        int mark = pathAndQuery.indexOf('?');
        if (mark < 0) {
            return pathAndQuery;
        }
        String kept =
                Arrays.stream(pathAndQuery.substring(mark + 1).split("&"))
                        .filter(parameter -> !carriesKey(parameter))
                        .collect(Collectors.joining("&"));
        String path = pathAndQuery.substring(0, mark);
        return kept.isEmpty() ? path : path + "?" + kept;
    }

    /** Refuses a call whose path, headers or body hold the caller's key all the same. */
    static Optional<Problem> findLeak(CallContext call) {
        if (call.key().isEmpty()) {
            return Optional.empty();
        }
        String key = call.key().get();
        CallSpec spec = call.spec();
        boolean held =
                decoded(spec.path()).contains(key)
                        || spec.headers().values().stream().anyMatch(value -> value.contains(key));
        return held ? refusal() : findBodyLeak(call);
    }

    /** Refuses a request whose body holds the caller's key. */
    static Optional<Problem> findBodyLeak(CallContext call) {
        boolean held =
                call.key()
                        .map(key -> key.getBytes(StandardCharsets.UTF_8))
                        .filter(key -> contains(call.exchange().body(), key))
                        .isPresent();
        return held ? refusal() : Optional.empty();
    }

    private static Optional<Problem> refusal() {
        return Optional.of(
                Problem.notRun(
                        ProblemKind.MALFORMED_REQUEST,
                        "the path, a header or the body holds the caller's key; send it"
                                + " in the Authorization header only"));
    }

    private static boolean carriesKey(String parameter) {
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
