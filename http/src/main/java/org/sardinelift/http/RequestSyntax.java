package org.sardinelift.http;

import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.StreamSupport;

/**
 * Checks texts that become part of a request, such as those that a caller hands in as JSON. A line
 * break in one of them would begin another header or another request (RFC 9110, section 5; RFC
 * 9112, section 3).
 */
public final class RequestSyntax {
    private static final Pattern TARGET = Pattern.compile("/[^\\x00-\\x20\\x7f#]*");
    private static final Pattern NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
    private static final Pattern VALUE = Pattern.compile("[^\\x00-\\x08\\x0a-\\x1f\\x7f]*");

    private RequestSyntax() {}

    /**
     * Finds out why a request can't be sent.
     *
     * @param uri path and query
     * @param headers request headers
     * @return the reason, or empty if it can be sent
     */
    public static Optional<String> findFault(
            String uri, Iterable<Map.Entry<String, String>> headers) {
        if (!TARGET.matcher(uri).matches()) {
            return Optional.of(
                    "its path doesn't begin with a slash or holds a forbidden character");
        }
        return StreamSupport.stream(headers.spliterator(), false)
                .filter(header -> !isValid(header))
                .map(header -> "its header " + printable(header.getKey()) + " is malformed")
                .findFirst();
    }

    private static boolean isValid(Map.Entry<String, String> header) {
        return NAME.matcher(header.getKey()).matches()
                && VALUE.matcher(header.getValue()).matches();
    }

    private static String printable(String name) {
        return name.replaceAll("[^!-~]", "?");
    }
}
