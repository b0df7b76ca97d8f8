package org.sardinelift.core.batch;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Rendezvous hashing: all that see the same entries choose the same one for a job. */
public final class EntryRendezvous {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX = 0xff51afd7ed558ccdL;
    private static final int SHIFT = 33;

    private EntryRendezvous() {}

    /**
     * Chooses an entry.
     *
     * @param job name of the job
     * @param entries names of live entries
     * @return the first in the job's order, or empty where there is none
     */
    public static Optional<String> choose(String job, Collection<String> entries) {
        return entries.stream()
                .max(
                        Comparator.comparingLong((String entry) -> score(job, entry))
                                .thenComparing(Comparator.naturalOrder()));
    }

    private static long score(String job, String entry) {
        long hash = FNV_OFFSET;
        String text = job + "/" + entry;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        hash = (hash ^ (hash >>> SHIFT)) * MIX;
        return hash ^ (hash >>> SHIFT);
    }
}
