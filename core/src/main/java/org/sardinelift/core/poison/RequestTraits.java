package org.sardinelift.core.poison;

import java.util.List;
import java.util.stream.LongStream;
import org.sardinelift.core.route.Rendezvous;

/**
 * Hashes of what may make a request crash its target and is shared with other requests: the request
 * as a whole, which a caller may send again, and each part of its prompt that others may have.
 *
 * @param request hash of team, method, path and body
 * @param parts hashes of the parts of the prompt at its service
 */
public record RequestTraits(long request, List<Long> parts) {
    /** Parts of one prompt that are watched, which bounds memory and reports. */
    private static final int MAX_PARTS = 64;

    /** Copies the list. */
    public RequestTraits {
        parts = List.copyOf(parts);
    }

    /**
     * Creates the traits of a request.
     *
     * @param request hash of team, method, path and body
     * @param service service that runs the request
     * @param partIds ids of the parts of its prompt that other requests share; those beyond the
     *     first 64 are not watched
     * @return the traits
     */
    public static RequestTraits of(long request, String service, List<String> partIds) {
        return new RequestTraits(
                request,
                partIds.stream()
                        .limit(MAX_PARTS)
                        .map(id -> Rendezvous.weight(id, service))
                        .distinct()
                        .toList());
    }

    /**
     * All traits, the request as a whole first.
     *
     * @return the hashes
     */
    public LongStream all() {
        return LongStream.concat(LongStream.of(request), parts.stream().mapToLong(Long::longValue));
    }

    /**
     * The parts, for logs.
     *
     * @return hashes in hexadecimal digits, separated by commas
     */
    public String partsText() {
        return String.join(",", parts.stream().map(Long::toHexString).toList());
    }
}
