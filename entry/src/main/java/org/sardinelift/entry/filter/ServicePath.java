package org.sardinelift.entry.filter;

import java.util.Optional;

/**
 * A request target below {@code /services/NAME}.
 *
 * @param service service name
 * @param targetPath path at the service, starting with a slash, query included
 */
record ServicePath(String service, String targetPath) {
    private static final String PREFIX = "/services/";

    static Optional<ServicePath> parse(String uri) {
        if (!uri.startsWith(PREFIX)) {
            return Optional.empty();
        }
        int end = PREFIX.length();
        while (end < uri.length() && uri.charAt(end) != '/' && uri.charAt(end) != '?') {
            end++;
        }
        String name = uri.substring(PREFIX.length(), end);
        String rest = uri.substring(end);
        return name.isEmpty()
                ? Optional.empty()
                : Optional.of(new ServicePath(name, rest.startsWith("/") ? rest : "/" + rest));
    }
}
