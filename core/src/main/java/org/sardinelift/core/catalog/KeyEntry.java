package org.sardinelift.core.catalog;

/**
 * A caller's key as stored: its digest, not its secret.
 *
 * @param id public identifier of the key, the part before the secret
 * @param team team that the key was issued to
 * @param digest keyed hash of the whole key, hexadecimal
 * @param isWithdrawn whether the key has been withdrawn
 */
public record KeyEntry(String id, String team, String digest, boolean isWithdrawn)
        implements ConfigItem {}
