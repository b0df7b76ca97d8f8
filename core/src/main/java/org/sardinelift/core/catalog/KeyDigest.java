package org.sardinelift.core.catalog;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Keyed hash of callers' keys (HMAC-SHA-256, RFC 2104). A key has the form {@code sl_ID_SECRET}.
 */
public final class KeyDigest {
    private static final String ALGORITHM = "HmacSHA256";
    private static final String PREFIX = "sl_";

    private final SecretKeySpec pepper;

    private KeyDigest(SecretKeySpec pepper) {
        this.pepper = pepper;
    }

    /**
     * Creates a hash with a secret of the deployment.
     *
     * @param pepper secret from the settings, the same on every instance
     * @return the keyed hash
     */
    public static KeyDigest of(String pepper) {
        return new KeyDigest(new SecretKeySpec(pepper.getBytes(StandardCharsets.UTF_8), ALGORITHM));
    }

    /**
     * Hashes a key.
     *
     * @param key the whole key
     * @return hexadecimal digest
     */
    public String digest(String key) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(pepper);
            return HexFormat.of().formatHex(mac.doFinal(key.getBytes(StandardCharsets.UTF_8)));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(ALGORITHM + " is part of every Java 17", e);
        }
    }

    /**
     * Checks a key against a digest, in time that depends on neither.
     *
     * @param key the whole key
     * @param digest stored digest
     * @return whether they match
     */
    public boolean matches(String key, String digest) {
        return MessageDigest.isEqual(
                digest(key).getBytes(StandardCharsets.US_ASCII),
                digest.getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Extracts the public identifier from a key.
     *
     * @param key the whole key
     * @return the identifier, or empty if the key has another form
     */
    public static Optional<String> idOf(String key) {
        int end = key.indexOf('_', PREFIX.length());
        return key.startsWith(PREFIX) && end > PREFIX.length()
                ? Optional.of(key.substring(PREFIX.length(), end))
                : Optional.empty();
    }
}
