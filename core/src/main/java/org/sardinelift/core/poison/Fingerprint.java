package org.sardinelift.core.poison;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Hash that identifies a request when it is sent again. */
public final class Fingerprint {
    private static final int HASH_BYTES = 16;

    private Fingerprint() {}

    /**
     * Hashes a request.
     *
     * @param team team that it runs for
     * @param route method and path at the target
     * @param body bytes of the body
     * @return hash in hexadecimal digits
     */
    public static String of(String team, String route, byte[] body) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(team.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            digest.update(route.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            digest.update(body);
            return HexFormat.of().formatHex(digest.digest(), 0, HASH_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is part of every Java 17", e);
        }
    }
}
