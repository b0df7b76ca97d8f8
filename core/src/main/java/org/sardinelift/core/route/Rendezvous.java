package org.sardinelift.core.route;

import java.nio.charset.StandardCharsets;

/** Rendezvous (highest random weight) hashing: each key has its own order of the targets. */
public final class Rendezvous {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Rendezvous() {}

    /**
     * Returns the weight of a target for a key. The target with the highest weight is the first
     * choice.
     *
     * @param key key of what is assigned
     * @param target name of the target
     * @return the weight
     */
    public static long weight(String key, String target) {
        return weight(hash(key), hash(target));
    }

    /**
     * Returns the weight of a target for a key by their hashes, which callers keep where they weigh
     * many targets.
     *
     * @param keyHash hash of the key
     * @param targetHash hash of the target's name
     * @return the weight
     */
    public static long weight(long keyHash, long targetHash) {
        return mix(keyHash ^ mix(targetHash));
    }

    /**
     * Returns the hash of a name.
     *
     * @param text the name
     * @return its hash
     */
    public static long hash(String text) {
        long hash = FNV_OFFSET;
        for (byte next : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (next & 0xff)) * FNV_PRIME;
        }
        return hash;
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
