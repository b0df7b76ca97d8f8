package org.sardinelift.core.resume;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.sardinelift.core.route.Rendezvous;

/**
 * Selects the instances that keep where a stream begins, by rendezvous hashing: an instance that a
 * caller comes back to finds them without knowing which instance began the stream. Zones are used
 * in turn, so that the loss of one leaves a keeper.
 */
public final class OriginKeepers {
    /** Keepers of a stream: one outlives the instance that began it and the other keeper. */
    public static final int KEEPERS = 2;

    /** Instances that are asked: more, since two instances may see different peers as live. */
    public static final int ASKED_INSTANCES = 4;

    private OriginKeepers() {}

    /**
     * An instance that may keep streams.
     *
     * @param name its name
     * @param zone its availability zone
     * @param hash hash of its name
     */
    public record Candidate(String name, String zone, long hash) {
        /**
         * Creates a candidate.
         *
         * @param name name of the instance
         * @param zone its availability zone
         * @return the candidate
         */
        public static Candidate of(String name, String zone) {
            return new Candidate(name, zone, Rendezvous.hash(name));
        }
    }

    /**
     * Selects keepers.
     *
     * @param stream hash of the stream
     * @param candidates the instances
     * @param count number of keepers
     * @return the keepers, fewer if there are not as many instances
     */
    public static List<Candidate> select(long stream, Collection<Candidate> candidates, int count) {
        List<Candidate> selected = new ArrayList<>();
        Set<String> usedZones = new HashSet<>();
        while (selected.size() < Math.min(count, candidates.size())) {
            Candidate next = first(stream, candidates, selected, usedZones);
            selected.add(next);
            usedZones.add(next.zone());
        }
        return selected;
    }

    /** The instance with the highest weight in a zone not used yet, or else of those left. */
    private static Candidate first(
            long stream,
            Collection<Candidate> candidates,
            List<Candidate> selected,
            Set<String> usedZones) {
        Comparator<Candidate> byWeight =
                Comparator.comparingLong(candidate -> Rendezvous.weight(stream, candidate.hash()));
        return candidates.stream()
                .filter(candidate -> !usedZones.contains(candidate.zone()))
                .max(byWeight)
                .or(
                        () ->
                                candidates.stream()
                                        .filter(candidate -> !selected.contains(candidate))
                                        .max(byWeight))
                .orElseThrow();
    }
}
