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
import org.sardinelift.gateway.PlatformAdapter;

/** Selects the request and response headers to forward (RFC 9110, section 7.6.1). */
public final class ForwardedHeaders {
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

    /** The caller's key is not forwarded, in whichever header a target would accept it. */
    private static final String KEY_HEADER = "authorization";

    private final HeaderNames names;
    private final Set<String> notForwarded;

    private ForwardedHeaders(HeaderNames names, Set<String> reserved) {
        this.names = names;
        this.notForwarded = new HashSet<>(reserved);
        notForwarded.add(KEY_HEADER);
        notForwarded.add(lower(names.team()));
        notForwarded.add(lower(names.expectedTarget()));
        notForwarded.add(lower(names.deadlineMs()));
        notForwarded.add(lower(names.lastEventId()));
    }

    /**
     * Creates the selection for a platform.
     *
     * @param adapter names the headers that only the system may send to targets
     * @return the selection
     */
    public static ForwardedHeaders of(PlatformAdapter adapter) {
        return new ForwardedHeaders(adapter.headerNames(), adapter.reservedHeaders());
    }

    /**
     * Names of the headers that the platform uses.
     *
     * @return the names
     */
    public HeaderNames names() {
        return names;
    }

    /**
     * Headers of a request to a target.
     *
     * @param received the caller's headers, of which those are forwarded that neither concern only
     *     one connection nor are the system's to set
     * @param own headers that the system sets
     * @return headers in order
     */
    public List<Map.Entry<String, String>> toTarget(
            Iterable<Map.Entry<String, String>> received, List<Map.Entry<String, String>> own) {
        Set<String> replaced = hopByHop(received);
        replaced.addAll(notForwarded);
        own.forEach(header -> replaced.add(lower(header.getKey())));
        List<Map.Entry<String, String>> headers =
                select(received, name -> !replaced.contains(name));
        headers.addAll(own);
        return headers;
    }

    /** Response headers that are forwarded to the caller unchanged. */
    List<Map.Entry<String, String>> toCaller(List<Map.Entry<String, String>> received) {
        Set<String> hopByHopNames = hopByHop(received);
        return select(received, name -> !hopByHopNames.contains(name));
    }

    private static List<Map.Entry<String, String>> select(
            Iterable<Map.Entry<String, String>> received, Predicate<String> isForwarded) {
        List<Map.Entry<String, String>> selected = new ArrayList<>();
        received.forEach(
                header -> {
                    if (isForwarded.test(lower(header.getKey()))) {
                        selected.add(header);
                    }
                });
        return selected;
    }

    /** The standard hop-by-hop headers and those that a Connection header lists. */
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
