package org.sardinelift.core.catalog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class KeyDigestTest {
    private static final String KEY = "sl_k1_secret";

    @Test
    void digestMatchesOnlyItsKey() {
        KeyDigest digest = KeyDigest.of("pepper");

        assertTrue(digest.matches(KEY, digest.digest(KEY)));
        assertFalse(digest.matches("sl_k1_other", digest.digest(KEY)));
    }

    @Test
    void digestDependsOnPepper() {
        assertNotEquals(KeyDigest.of("a").digest(KEY), KeyDigest.of("b").digest(KEY));
    }

    @Test
    void identifierIsBetweenPrefixAndSecret() {
        assertEquals(Optional.of("k1"), KeyDigest.idOf(KEY));
        assertEquals(Optional.empty(), KeyDigest.idOf("sl__secret"));
        assertEquals(Optional.empty(), KeyDigest.idOf("bearer"));
    }
}
