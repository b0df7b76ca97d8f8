package org.sardinelift.entry.filter;

import java.util.Optional;

/**
 * A request path of the form {@code /services/NAME/...}.
 *
 * @param service service name
 * @param targetPath path and query at the target, starting with a slash
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
        String targetPath = uri.substring(end);
        return name.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        new ServicePath(
                                name, targetPath.startsWith("/") ? targetPath : "/" + targetPath));
    }
}
