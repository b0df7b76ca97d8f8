package org.sardinelift.core.memory;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the tokens that requests hold on a target below its memory, over all instances.
 *
 * <p>Each instance counts the tokens of its own requests and those that the others report. What the
 * others have sent within the propagation time is unknown. Small requests may be sent by every
 * instance, since the slots of a target bound their number; a quarter of the memory is kept for
 * those that are not known yet. A large request is sent only by the owner of the target, which
 * therefore knows all large requests there. Other instances may send larger requests only as far as
 * their equal shares of half the reserve allow within the propagation time.
 *
 * <p>A request that doesn't fit beside the reserve needs a target for itself. Its owner reports
 * tokens as held until the others have stopped to send there; then no reserve is needed.
 *
 * <p>Times are nanoseconds of a monotonic clock. Not thread-safe.
 */
public final class TargetMemory {
    /** Time within which a report reaches all instances, repetitions of lost ones included. */
    public static final Duration PROPAGATION_TIME = Duration.ofMillis(500);

    /** Propagation both ways with a margin; also the time until a started instance knows all. */
    private static final Duration SETTLE_TIME = Duration.ofMillis(1_200);

    /** The targets may go on with the requests of an instance whose machine was lost. */
    private static final Duration REPORT_EXPIRY = Duration.ofSeconds(10);

    /** Callers return within this time if they are to use a target that is cleared for them. */
    private static final Duration CLEARING_TIME = Duration.ofSeconds(4);

    private static final double RESERVED_PART = 0.25;

    /** Requests are small if all slots together hold at most this part. */
    private static final double SMALL_REQUESTS_PART = 0.125;

    /** A target with more is not used for small requests without a check. */
    private static final double UNCHECKED_PART = 0.5;

    private final String self;
    private MemoryOwners owners;
    private boolean isSending = true;
    private final Map<String, Long> own = new HashMap<>();
    private final Map<String, Report> reports = new HashMap<>();
    private final Map<String, Long> others = new HashMap<>();
    private final Map<String, Deque<Sent>> sent = new HashMap<>();
    private final Map<String, Clearing> clearings = new HashMap<>();
    private final Map<String, SizeFairness> fairness = new HashMap<>();

    private record Report(Map<String, Long> tokens, long at) {}

    private record Sent(long tokens, long at) {}

    private record Clearing(long tokens, long since) {}

    /**
     * A target with a memory limit.
     *
     * @param id name of the target
     * @param service its service
     * @param slots calls that it runs at once
     * @param calls calls on it, as far as is known or as it has stated itself
     * @param memory tokens that its requests may hold
     */
    public record LimitedTarget(String id, String service, int slots, int calls, long memory) {
        private long smallTokens() {
            return (long) (memory * SMALL_REQUESTS_PART / Math.max(1, slots));
        }
    }

    private TargetMemory(String self, long now) {
        this.self = self;
        this.owners = new MemoryOwners(self, SETTLE_TIME, now);
    }

    /**
     * Creates the account of an instance that has just started.
     *
     * @param self name of this instance
     * @param now the time
     * @return an account without requests
     */
    public static TargetMemory create(String self, long now) {
        return new TargetMemory(self, now);
    }

    /**
     * Sets the other instances that may send requests.
     *
     * @param names their names; one that has fallen silent is among them until it has surely
     *     stopped
     * @param now the time
     */
    public void onMembers(Collection<String> names, long now) {
        owners.onMembers(names, now);
        if (reports.values().removeIf(report -> now - report.at() >= REPORT_EXPIRY.toNanos())) {
            sumReports();
        }
        sent.values().forEach(each -> removeReported(each, now));
        sent.values().removeIf(Deque::isEmpty);
        clearings.values().removeIf(clearing -> now - clearing.since() >= CLEARING_TIME.toNanos());
    }

    /**
     * Forgets for how long the other instances have been known, since they were not followed
     * before.
     *
     * @param now the time
     */
    public void restart(long now) {
        owners = new MemoryOwners(self, SETTLE_TIME, now);
    }

    /**
     * Sets whether this instance sends requests. The others count it among the members only then.
     *
     * @param sends whether it does
     * @param now the time
     */
    public void setSending(boolean sends, long now) {
        if (sends && !isSending) {
            restart(now);
        }
        isSending = sends;
    }

    /**
     * Another instance reported the tokens of all its requests.
     *
     * @param instance its name
     * @param tokens tokens by target
     * @param now the time
     */
    public void onReport(String instance, Map<String, Long> tokens, long now) {
        Report before = reports.get(instance);
        if (before == null && tokens.isEmpty()) {
            return;
        }
        if (before != null) {
            before.tokens().forEach((target, count) -> addOthers(target, -count));
        }
        tokens.forEach(this::addOthers);
        reports.put(instance, new Report(Map.copyOf(tokens), now));
    }

    private void addOthers(String target, long change) {
        others.compute(target, (key, before) -> nonZero((before == null ? 0 : before) + change));
    }

    private void sumReports() {
        others.clear();
        reports.values().forEach(report -> report.tokens().forEach(this::addOthers));
    }

    private static @Nullable Long nonZero(long tokens) {
        return tokens == 0 ? null : tokens;
    }

    /**
     * A request of this instance is sent to a target.
     *
     * @param target name of the target
     * @param tokens tokens that the request may hold
     * @param now the time
     */
    public void onSent(String target, long tokens, long now) {
        own.merge(target, tokens, Long::sum);
        sent.computeIfAbsent(target, key -> new ArrayDeque<>()).add(new Sent(tokens, now));
        clearings.remove(target);
    }

    /**
     * A request of this instance ended at a target.
     *
     * @param target name of the target
     * @param tokens tokens that it could hold
     */
    public void onEnded(String target, long tokens) {
        own.computeIfPresent(target, (key, before) -> nonZero(before - tokens));
    }

    /**
     * Tokens to report to the other instances for each target.
     *
     * @return tokens by target, with those kept free for a request that needs the whole target
     */
    public Map<String, Long> reportedTokens() {
        return Stream.of(own.keySet(), clearings.keySet())
                .flatMap(Set::stream)
                .distinct()
                .collect(Collectors.toMap(id -> id, id -> ownTokens(id) + clearedTokens(id)));
    }

    private long clearedTokens(String target) {
        Clearing clearing = clearings.get(target);
        return clearing == null ? 0 : clearing.tokens();
    }

    private long ownTokens(String target) {
        return own.getOrDefault(target, 0L);
    }

    /**
     * Tokens that requests of all instances hold on a target, as far as is known.
     *
     * @param target name of the target
     * @return the sum
     */
    public long knownTokens(String target) {
        return ownTokens(target) + others.getOrDefault(target, 0L);
    }

    /**
     * Whether a request may be sent to a target now.
     *
     * @param target the target
     * @param tokens tokens that the request may hold
     * @param now the time
     * @return false if it might not fit
     */
    public boolean fits(LimitedTarget target, long tokens, long now) {
        boolean isSmall = tokens <= target.smallTokens();
        long known = knownTokens(target.id());
        if (clearings.containsKey(target.id())) {
            return needsWholeTarget(target, tokens)
                    && reserve(target, now) == 0
                    && known + tokens <= target.memory()
                    && owners.isOwner(target.id(), now);
        }
        if (isSmall && known <= target.memory() * UNCHECKED_PART && isKnown(target, now)) {
            return true;
        }
        if (isSmall) {
            return fitsSmall(target, tokens, known, now);
        }
        long kept = fairness(target.service()).roomToKeep();
        long room = target.memory() - known;
        long reserve = reserve(target, now);
        boolean isRoomKept = room >= Math.min(kept, target.memory() - reserve) + reserve;
        return room >= tokens + reserve && isRoomKept && mayAdd(target, tokens, now);
    }

    private static boolean needsWholeTarget(LimitedTarget target, long tokens) {
        return tokens > target.memory() * (1 - RESERVED_PART);
    }

    /** Until the reports of the others have arrived, the target's own statement counts. */
    private boolean isKnown(LimitedTarget target, long now) {
        return owners.isSettled(now) || target.calls() < target.slots();
    }

    private boolean fitsSmall(LimitedTarget target, long tokens, long known, long now) {
        double unknown = owners.others() == 0 ? 0 : target.memory() * SMALL_REQUESTS_PART;
        return isKnown(target, now)
                && known + tokens + unknown <= target.memory()
                && unreported(target.id(), now) + tokens
                        <= Math.max(share(target), target.smallTokens());
    }

    private long reserve(LimitedTarget target, long now) {
        Clearing clearing = clearings.get(target.id());
        boolean isCleared =
                clearing != null && now - clearing.since() >= 2 * PROPAGATION_TIME.toNanos();
        return owners.others() == 0 || isCleared ? 0 : (long) (target.memory() * RESERVED_PART);
    }

    private boolean mayAdd(LimitedTarget target, long tokens, long now) {
        if (!isSending) {
            return false;
        }
        boolean isWithinShare =
                owners.others() > 0
                        && owners.isSettled(now)
                        && unreported(target.id(), now) + tokens <= share(target);
        return isWithinShare || owners.isOwner(target.id(), now);
    }

    /** Tokens that each instance may add within the propagation time; all fit in the reserve. */
    private long share(LimitedTarget target) {
        return owners.others() == 0
                ? target.memory()
                : (long) (target.memory() * RESERVED_PART / (4 * owners.others()));
    }

    private long unreported(String target, long now) {
        Deque<Sent> sends = sent.get(target);
        if (sends == null) {
            return 0;
        }
        removeReported(sends, now);
        return sends.stream().mapToLong(Sent::tokens).sum();
    }

    private static void removeReported(Deque<Sent> sends, long now) {
        while (!sends.isEmpty() && now - sends.getFirst().at() >= PROPAGATION_TIME.toNanos()) {
            sends.removeFirst();
        }
    }

    /**
     * Records whether a request was admitted, so that the largest ones are not starved.
     *
     * @param service its service
     * @param tokens tokens that it may hold
     * @param isAdmitted false if it was refused for lack of memory
     */
    public void onDecision(String service, long tokens, boolean isAdmitted) {
        fairness(service).onDecision(tokens, isAdmitted);
    }

    private SizeFairness fairness(String service) {
        return fairness.computeIfAbsent(service, key -> new SizeFairness());
    }

    /**
     * Begins to clear a target for a request that fits on none beside the reserve.
     *
     * @param targets the targets that may run it
     * @param tokens tokens that it may hold
     * @param now the time
     * @return whether a target is being cleared, which the others need to know
     */
    public boolean clearFor(Collection<LimitedTarget> targets, long tokens, long now) {
        return targets.stream()
                .filter(target -> tokens <= target.memory() && needsWholeTarget(target, tokens))
                .filter(target -> owners.others() > 0 && owners.isOwner(target.id(), now))
                .filter(target -> !clearings.containsKey(target.id()))
                .min(Comparator.comparingLong(target -> knownTokens(target.id())))
                .map(target -> beginClearing(target, now))
                .isPresent();
    }

    private Clearing beginClearing(LimitedTarget target, long now) {
        Clearing clearing = new Clearing(target.memory(), now);
        clearings.put(target.id(), clearing);
        return clearing;
    }

    /**
     * Returns whether this instance alone may send large requests to a target.
     *
     * @param target name of the target
     * @param now the time
     * @return true if it owns the target
     */
    public boolean isOwner(String target, long now) {
        return owners.isOwner(target, now);
    }
}
