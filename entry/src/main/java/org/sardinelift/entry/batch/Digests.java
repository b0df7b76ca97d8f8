package org.sardinelift.entry.batch;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 digest of text. */
final class Digests {
    private static final String ALGORITHM = "SHA-256";

    private final MessageDigest digest;

    private Digests(MessageDigest digest) {
        this.digest = digest;
    }

    /** Creates a digest of text that is added in parts. */
    static Digests create() {
        try {
            return new Digests(MessageDigest.getInstance(ALGORITHM));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    ALGORITHM + " is missing, though part of every Java 17", e);
        }
    }

    void update(String part) {
        digest.update(part.getBytes(StandardCharsets.UTF_8));
    }

    String hexDigest() {
        return HexFormat.of().formatHex(digest.digest());
    }

    static String sha256(String text) {
        Digests digests = create();
        digests.update(text);
        return digests.hexDigest();
    }
}
