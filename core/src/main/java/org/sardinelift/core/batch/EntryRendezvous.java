package org.sardinelift.core.batch;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.sardinelift.core.route.Rendezvous;

/**
 * Rendezvous hashing of jobs onto entries: whoever sees the same live entries chooses the same one.
 */
public final class EntryRendezvous {
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
                        Comparator.comparingLong((String entry) -> Rendezvous.weight(job, entry))
                                .thenComparing(Comparator.naturalOrder()));
    }
}
