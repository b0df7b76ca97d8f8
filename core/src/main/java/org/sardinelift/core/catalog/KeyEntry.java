package org.sardinelift.core.catalog;

/**
 * A key as the system holds it.
 *
 * @param id public identifier of the key, the part before the secret
 * @param team team that it was issued to
 * @param digest keyed hash of the whole key, hexadecimal
 * @param isWithdrawn whether it has been withdrawn
 */
public record KeyEntry(String id, String team, String digest, boolean isWithdrawn)
        implements ConfigItem {}
