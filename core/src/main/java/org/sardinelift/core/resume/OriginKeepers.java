package org.sardinelift.core.resume;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.route.Rendezvous;

/**
 * Selects the instances that keep where a stream begins, by rendezvous hashing: an instance that a
 * caller comes back to finds them without knowing which instance began the stream. Zones are used
 * in turn, so that the loss of one leaves a keeper.
 */
public final class OriginKeepers {
    /** Keepers of a stream: one outlives the instance that began it and the other keeper. */
    private static final int KEEPERS = 2;

    /** Instances that are asked: more, since two instances may see different peers as live. */
    private static final int ASKED_INSTANCES = 4;

    private static final int ASKED_GATEWAYS = 2;

    /** The best worker of each of three zones, one of which is the keeper. */
    private static final int ASKED_WORKERS = 3;

    private OriginKeepers() {}

    /**
     * An instance that may keep streams.
     *
     * @param name its name
     * @param zone its availability zone
     * @param role its role
     * @param hash hash of its name
     */
    public record Candidate(String name, String zone, PeerRole role, long hash) {
        /**
         * Creates a candidate.
         *
         * @param name name of the instance
         * @param zone its availability zone
         * @param role its role
         * @return the candidate
         */
        public static Candidate of(String name, String zone, PeerRole role) {
            return new Candidate(name, zone, role, Rendezvous.hash(name));
        }
    }

    /**
     * Selects the keepers of a stream: a gateway, and a worker in another zone. Workers run on
     * other machines, so they outlive the loss of all gateways.
     *
     * @param stream hash of the stream
     * @param candidates the instances
     * @return the keepers, two of one role where the other has none
     */
    public static List<Candidate> keepers(long stream, Collection<Candidate> candidates) {
        List<Candidate> gateways = withRole(PeerRole.GATEWAY, candidates);
        List<Candidate> workers = withRole(PeerRole.WORKER, candidates);
        if (gateways.isEmpty() || workers.isEmpty()) {
            return select(stream, candidates, KEEPERS);
        }
        Candidate gateway = select(stream, gateways, 1).get(0);
        Candidate worker = first(stream, workers, List.of(), Set.of(gateway.zone()));
        return List.of(gateway, worker);
    }

    /**
     * Selects the instances that may keep a stream, in the view of any instance.
     *
     * @param stream hash of the stream
     * @param candidates the instances
     * @return those to ask
     */
    public static List<Candidate> asked(long stream, Collection<Candidate> candidates) {
        List<Candidate> gateways = withRole(PeerRole.GATEWAY, candidates);
        List<Candidate> workers = withRole(PeerRole.WORKER, candidates);
        int gatewayCount = workers.isEmpty() ? ASKED_INSTANCES : ASKED_GATEWAYS;
        int workerCount = gateways.isEmpty() ? ASKED_INSTANCES : ASKED_WORKERS;
        return Stream.concat(
                        select(stream, gateways, gatewayCount).stream(),
                        select(stream, workers, workerCount).stream())
                .toList();
    }

    private static List<Candidate> withRole(PeerRole role, Collection<Candidate> candidates) {
        return candidates.stream().filter(each -> each.role() == role).toList();
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
