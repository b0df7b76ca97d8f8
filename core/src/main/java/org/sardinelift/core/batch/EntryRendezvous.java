package org.sardinelift.core.batch;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Rendezvous hashing of jobs onto entries: whoever sees the same live entries chooses the same one.
 */
public final class EntryRendezvous {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_MULTIPLIER = 0xff51afd7ed558ccdL;
    private static final int MIX_SHIFT = 33;

    private EntryRendezvous() {}

    /**
     * Chooses the entry that runs a job.
     *
     * @param job name of the job
     * @param entries names of live entries
     * @return the entry with the highest hash for the job, or empty without entries
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
        hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_MULTIPLIER;
        return hash ^ (hash >>> MIX_SHIFT);
    }
}
