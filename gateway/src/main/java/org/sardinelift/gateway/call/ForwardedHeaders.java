package org.sardinelift.gateway.call;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import org.sardinelift.gateway.HeaderNames;

/** Which headers of a call and of its answer are passed on (RFC 9110, section 7.6.1). */
final class ForwardedHeaders {
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "content-length",
                    "expect");

    /** The caller's key ends here, in whatever header a target would accept it. */
    private static final String KEY_HEADER = "authorization";

    private final HeaderNames names;
    private final Set<String> own;

    ForwardedHeaders(HeaderNames names, Set<String> reserved) {
        this.names = names;
        this.own = new HashSet<>(reserved);
        own.add(KEY_HEADER);
        own.add(lower(names.team()));
        own.add(lower(names.expectedTarget()));
        own.add(lower(names.deadlineMs()));
    }

    HeaderNames names() {
        return names;
    }

    /** Headers of the caller that go to a target as they are. */
    List<Map.Entry<String, String>> toTarget(Iterable<Map.Entry<String, String>> received) {
        Set<String> hop = hopByHop(received);
        return passed(received, name -> !hop.contains(name) && !own.contains(name));
    }

    /** Headers of a target that go to the caller as they are. */
    List<Map.Entry<String, String>> toCaller(List<Map.Entry<String, String>> received) {
        Set<String> hop = hopByHop(received);
        return passed(received, name -> !hop.contains(name));
    }

    private static List<Map.Entry<String, String>> passed(
            Iterable<Map.Entry<String, String>> received, Predicate<String> isPassed) {
        List<Map.Entry<String, String>> passed = new ArrayList<>();
        received.forEach(
                header -> {
                    if (isPassed.test(lower(header.getKey()))) {
                        passed.add(header);
                    }
                });
        return passed;
    }

    /** The fixed ones and those that a Connection header names. */
    private static Set<String> hopByHop(Iterable<Map.Entry<String, String>> received) {
        Set<String> names =
                StreamSupport.stream(received.spliterator(), false)
                        .filter(header -> header.getKey().equalsIgnoreCase("connection"))
                        .flatMap(header -> Arrays.stream(header.getValue().split(",")))
                        .map(name -> lower(name.trim()))
                        .collect(Collectors.toCollection(HashSet::new));
        names.addAll(HOP_BY_HOP);
        return names;
    }

    private static String lower(String name) {
        return name.toLowerCase(Locale.ROOT);
    }
}
