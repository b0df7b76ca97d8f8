package org.sardinelift.core.joblog;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.sardinelift.core.route.Rendezvous;

/**
 * Bounds the tokens of a team that wait in batch jobs on a route, over all workers.
 *
 * <p>Each worker counts the jobs that it knows. It learns of a job that another worker has accepted
 * within the propagation time, so several workers could fill the same remainder at once. Therefore
 * only one worker for each team and route, the first by rendezvous hash of the names, accepts jobs
 * up to the bound. Each other worker accepts, within the propagation time, at most an equal share
 * of an excess that is tolerated over the bound; so does a worker whose knowledge is older than
 * that. The sum never exceeds the bound plus the excess.
 *
 * <p>Times are nanoseconds of a monotonic clock. Not thread-safe.
 */
public final class WaitingTokenLimit {
    /** Fraction of the bound that may be exceeded; the platform tolerates 0.1. */
    private static final double TOLERATED_EXCESS = 0.08;

    /** Longer than any job waits; older knowledge counts as that old. */
    private static final Duration MAX_AGE = Duration.ofMinutes(10);

    private final String self;
    private final long propagationNanos;
    private final Map<Key, Deque<Reservation>> reservations = new HashMap<>();

    private record Key(String team, String route) {}

    /** Tokens that this worker has lately accepted, or is about to accept. */
    private static final class Reservation {
        private final String job;
        private final long tokens;
        private final long reservedAt;
        private boolean isKnown;

        private Reservation(String job, long tokens, long reservedAt) {
            this.job = job;
            this.tokens = tokens;
            this.reservedAt = reservedAt;
        }
    }

    /** Whether a job fits. */
    public enum Decision {
        /** It fits; its tokens are reserved. */
        FITS,
        /** More tokens wait than the bound allows. */
        EXCEEDS,
        /** It exceeds what this worker may accept; another worker may accept it. */
        UNCERTAIN
    }

    /**
     * What this worker knows of a team's waiting tokens.
     *
     * @param waitingTokens tokens that wait in all jobs that it knows
     * @param ageNanos age of this knowledge
     * @param otherWorkers names of the other workers that may accept jobs, live or not
     */
    public record Knowledge(long waitingTokens, long ageNanos, Set<String> otherWorkers) {}

    private WaitingTokenLimit(String self, long propagationNanos) {
        this.self = self;
        this.propagationNanos = propagationNanos;
    }

    /**
     * Creates a limit without reservations.
     *
     * @param self name of this worker
     * @param propagation time in which the other workers hear of a job that was accepted
     * @return the limit
     */
    public static WaitingTokenLimit create(String self, Duration propagation) {
        return new WaitingTokenLimit(self, propagation.toNanos());
    }

    /**
     * Decides whether a job fits, and reserves its tokens if so. Each reservation must be followed
     * by {@link #onAccepted} or {@link #onRefused}.
     *
     * @param job the job, unknown so far
     * @param maxTokens bound of the team's waiting tokens on the job's route
     * @param knowledge what this worker knows
     * @param now the time
     * @return the decision
     */
    public Decision tryReserve(JobSpec job, long maxTokens, Knowledge knowledge, long now) {
        Key key = new Key(job.team(), job.route());
        long tokens = job.tokens();
        Deque<Reservation> own = reservations.computeIfAbsent(key, k -> new ArrayDeque<>());
        forgetPropagated(own, knowledge.ageNanos(), now);
        long unpropagated = sum(own, reservation -> true);
        long waiting = knowledge.waitingTokens() + sum(own, reservation -> !reservation.isKnown);
        boolean isOld = knowledge.ageNanos() > propagationNanos;
        if (waiting + tokens > maxTokens) {
            return isOld ? Decision.UNCERTAIN : Decision.EXCEEDS;
        }
        double ownShare = TOLERATED_EXCESS * maxTokens / (knowledge.otherWorkers().size() + 1);
        long propagated = Math.max(0, waiting - unpropagated);
        boolean mayFill = !isOld && isFirst(key, knowledge.otherWorkers());
        if (unpropagated + tokens > ownShare + (mayFill ? maxTokens - propagated : 0)) {
            return Decision.UNCERTAIN;
        }
        own.add(new Reservation(job.id(), tokens, now));
        return Decision.FITS;
    }

    /**
     * Forgets the jobs that the other workers know by now. While this worker is cut off it may be
     * the only one that knows its jobs, so the age of its knowledge is added to the propagation
     * time.
     */
    private void forgetPropagated(Deque<Reservation> own, long ageNanos, long now) {
        long window = propagationNanos + Math.min(ageNanos, MAX_AGE.toNanos());
        own.removeIf(reservation -> reservation.isKnown && now - reservation.reservedAt > window);
    }

    private static long sum(Deque<Reservation> own, Predicate<Reservation> isCounted) {
        return own.stream().filter(isCounted).mapToLong(reservation -> reservation.tokens).sum();
    }

    /** Whether this worker is the one that may accept jobs up to the bound. */
    private boolean isFirst(Key key, Set<String> otherWorkers) {
        String name = key.team() + "/" + key.route();
        long ownWeight = Rendezvous.weight(name, self);
        return otherWorkers.stream().allMatch(other -> Rendezvous.weight(name, other) < ownWeight);
    }

    /**
     * A job was accepted; from now on it is among the jobs that this worker knows.
     *
     * @param job the job
     */
    public void onAccepted(JobSpec job) {
        reservations.getOrDefault(new Key(job.team(), job.route()), new ArrayDeque<>()).stream()
                .filter(reservation -> reservation.job.equals(job.id()))
                .forEach(reservation -> reservation.isKnown = true);
    }

    /**
     * A job was not accepted, or nobody knows whether it was.
     *
     * @param job the job
     * @param mayBeStored whether it may have been stored; its tokens then stay reserved until the
     *     others would have heard of it
     */
    public void onRefused(JobSpec job, boolean mayBeStored) {
        if (mayBeStored) {
            onAccepted(job);
            return;
        }
        reservations
                .getOrDefault(new Key(job.team(), job.route()), new ArrayDeque<>())
                .removeIf(reservation -> reservation.job.equals(job.id()));
    }
}
