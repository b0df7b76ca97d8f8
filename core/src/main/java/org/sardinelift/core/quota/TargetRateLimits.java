package org.sardinelift.core.quota;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.sardinelift.core.plan.RateLimit;

/**
 * Limits on the rate of requests that targets state in their responses or have while they are cold,
 * kept by all instances together. The lower of the two holds.
 *
 * <p>An instance learns a limit from the responses to its own requests, and from other instances,
 * which report what their own responses stated but not what they heard from others. The newest
 * statement holds. Responses overtake each other, so one that states no limit is only as new as the
 * request that it answers, while one that states a limit is as new as its arrival. Requests of all
 * instances are counted by a {@link FleetQuota}.
 *
 * <p>Targets are named by incarnation: a limit ends with it. Times are nanoseconds of a monotonic
 * clock. Not thread-safe.
 */
public final class TargetRateLimits {
    /**
     * Lowest rate. A target that takes less still gets a request now and then, whose response shows
     * whether the limit still holds.
     */
    private static final double MIN_REQUESTS_PER_SECOND = 0.2;

    /**
     * Time for which a target that is not registered, such as in an outage of the store, is kept.
     */
    private static final Duration ABSENCE_TIMEOUT = Duration.ofSeconds(60);

    /** Age from which a limit is tested by a request. */
    private static final Duration CONFIRMATION_INTERVAL = Duration.ofSeconds(1);

    /** Time whose requests a target may get at once, after it got none for that long. */
    private static final Duration BURST_TIME = Duration.ofSeconds(1);

    /** Requests in any second beyond the rate that a cold target takes: this part of the rate. */
    private static final double STRICT_SLACK_PART = 0.5;

    /** The same, plus this number. */
    private static final double STRICT_SLACK_REQUESTS = 5;

    /** Part of these requests that instances in contact may send as a burst. */
    private static final double STRICT_BURST_PART = 0.3;

    private final FleetQuota quota;
    private final long repeatNanos;
    private final Map<String, State> states = new HashMap<>();

    /** Targets that may have to be reported, as not all of many are visited for each report. */
    private final Set<String> recentlyChanged = new HashSet<>();

    private int limitedCount;

    private TargetRateLimits(FleetQuota quota, Duration repeatPeriod) {
        this.quota = quota;
        this.repeatNanos = repeatPeriod.toNanos();
    }

    /**
     * Creates the limits of an instance that knows none yet.
     *
     * @param quota counts the requests of all instances; used for nothing else
     * @param repeatPeriod time for which reports repeat a change, for instances that missed one
     * @return the limits
     */
    public static TargetRateLimits create(FleetQuota quota, Duration repeatPeriod) {
        return new TargetRateLimits(quota, repeatPeriod);
    }

    /**
     * A change of a limit, for the log.
     *
     * @param before requests per second, empty if there was no limit
     * @param after requests per second, empty if there is none any more
     */
    public record Change(OptionalDouble before, OptionalDouble after) {}

    /**
     * What an instance reports of a target to the others.
     *
     * @param target the target
     * @param statement what its last response to this instance stated, empty if there was none
     * @param sent requests sent to it by this instance while it was limited
     * @param coldLeftNanos time for which it stays cold, empty if this instance has not lately seen
     *     that itself
     */
    public record Report(
            String target,
            Optional<Statement> statement,
            AdmittedCount sent,
            OptionalLong coldLeftNanos) {}

    /**
     * What a target stated.
     *
     * @param perSecond requests per second, empty if it stated no limit
     * @param at the time as of which this holds
     */
    public record Statement(OptionalDouble perSecond, long at) {}

    private static final class State {
        private Statement latest;
        private OptionalDouble coldPerSecond = OptionalDouble.empty();
        private boolean hasColdEvidence;
        private long coldUntil;
        private long coldSeenAt;
        private Optional<Statement> own = Optional.empty();
        private long ownChangedAt;
        private long firstRequestAt;
        private long lastRequestAt;
        private boolean hasRequests;
        private boolean isRegistered = true;
        private long unregisteredAt;

        State(Statement latest) {
            this.latest = latest;
        }

        OptionalDouble limit() {
            OptionalDouble stated = latest.perSecond();
            return stated.isPresent() && coldPerSecond.isPresent()
                    ? OptionalDouble.of(Math.min(stated.getAsDouble(), coldPerSecond.getAsDouble()))
                    : stated.isPresent() ? stated : coldPerSecond;
        }

        /** Whether the target has ever stated a limit, here or to a peer. */
        boolean hasStatement() {
            return own.isPresent() || latest.perSecond().isPresent();
        }

        void setRegistered(boolean registered, long now) {
            if (isRegistered && !registered) {
                unregisteredAt = now;
            }
            isRegistered = registered;
        }

        boolean isGone(long now) {
            return !isRegistered && now - unregisteredAt >= ABSENCE_TIMEOUT.toNanos();
        }
    }

    /**
     * A target responded to a request of this instance.
     *
     * @param target the target
     * @param stated what the response states
     * @param sentAt when the request was sent
     * @param now the time
     * @return the change of the target's limit, empty if there is none
     */
    public Optional<Change> onResponse(String target, StatedRate stated, long sentAt, long now) {
        State state = states.get(target);
        if (stated instanceof StatedRate.Unreadable
                || stated instanceof StatedRate.Unlimited
                        && (state == null || !state.hasStatement())) {
            return Optional.empty();
        }
        Statement statement =
                stated instanceof StatedRate.Limited limited
                        ? new Statement(OptionalDouble.of(limited.perSecond()), now)
                        : new Statement(OptionalDouble.empty(), sentAt);
        Optional<Change> change = apply(target, statement, now);
        State updated = states.get(target);
        if (updated.latest.equals(statement)) {
            boolean isNews =
                    updated.own
                            .filter(own -> own.perSecond().equals(statement.perSecond()))
                            .isEmpty();
            if (isNews || change.isPresent()) {
                updated.ownChangedAt = now;
                recentlyChanged.add(target);
            }
            updated.own = Optional.of(statement);
        }
        return change;
    }

    /**
     * Another instance reported what a target stated to it.
     *
     * @param target the target
     * @param statement what it stated
     * @param now the time
     * @return the change of the target's limit, empty if there is none
     */
    public Optional<Change> onPeerStatement(String target, Statement statement, long now) {
        return apply(target, statement, now);
    }

    private Optional<Change> apply(String target, Statement statement, long now) {
        State state = states.get(target);
        if (state != null && statement.at() - state.latest.at() < 0) {
            return Optional.empty();
        }
        OptionalDouble before = state == null ? OptionalDouble.empty() : state.latest.perSecond();
        if (state == null) {
            states.put(target, new State(statement));
        } else {
            state.latest = statement;
        }
        if (statement.perSecond().equals(before)) {
            return Optional.empty();
        }
        updateLimit(target, now);
        countLimited();
        return Optional.of(new Change(before, statement.perSecond()));
    }

    private void updateLimit(String target, long now) {
        State state = states.get(target);
        OptionalDouble limit = state.limit();
        if (limit.isEmpty()) {
            quota.removeLimit(target);
        } else if (state.coldPerSecond.isPresent()) {
            quota.setStrictLimit(toStrictLimit(target, limit.getAsDouble()), now);
        } else {
            quota.setLimit(toRateLimit(target, limit.getAsDouble()), now);
        }
    }

    /**
     * Limits a target since it is cold, or changes that limit.
     *
     * @param target the target
     * @param perSecond requests per second
     * @param now the time
     */
    public void setColdLimit(String target, double perSecond, long now) {
        State state =
                states.computeIfAbsent(
                        target,
                        key ->
                                new State(
                                        new Statement(
                                                OptionalDouble.empty(),
                                                now - ABSENCE_TIMEOUT.toNanos())));
        limitedCount += isLimited(state) ? 0 : 1;
        state.coldPerSecond = OptionalDouble.of(perSecond);
        updateLimit(target, now);
    }

    /**
     * Removes the limit that a target had since it was cold. One that it states remains.
     *
     * @param target the target
     * @param now the time
     */
    public void removeColdLimit(String target, long now) {
        State state = states.get(target);
        if (state == null || state.coldPerSecond.isEmpty()) {
            return;
        }
        state.coldPerSecond = OptionalDouble.empty();
        state.latest
                .perSecond()
                .ifPresentOrElse(
                        stated -> quota.setLimit(toRateLimit(target, stated), now),
                        () -> quota.removeLimit(target));
        limitedCount -= isLimited(state) ? 0 : 1;
    }

    /**
     * This instance has seen that a target is cold, which the others need to know.
     *
     * @param target the target, which has a limit
     * @param until when its cold time is expected to end
     * @param now the time
     */
    public void onColdEvidence(String target, long until, long now) {
        State state = states.get(target);
        if (state != null) {
            state.hasColdEvidence = true;
            state.coldUntil = until;
            state.coldSeenAt = now;
            recentlyChanged.add(target);
        }
    }

    /**
     * Whether a target is limited since it is or was lately cold.
     *
     * @param target the target
     * @return true also where a lower limit is stated
     */
    public boolean isCold(String target) {
        State state = limitedCount == 0 ? null : states.get(target);
        return state != null && state.coldPerSecond.isPresent();
    }

    /**
     * Returns when this instance may send a probe to a target that does not answer. All instances
     * wait for such a target, so that each uses only its own part of a cold target's limit.
     *
     * @param target the target
     * @param now the time
     * @return 0 if it may now, otherwise the time until it may
     */
    public long nanosUntilProbe(String target, long now) {
        return isCold(target)
                ? quota.nanosUntilOwnSlot(target, now)
                : nanosUntilRequest(target, now);
    }

    private void countLimited() {
        limitedCount = (int) states.values().stream().filter(TargetRateLimits::isLimited).count();
    }

    private static boolean isLimited(State state) {
        return state.limit().isPresent();
    }

    private static RateLimit toRateLimit(String target, double perSecond) {
        double rate = Math.max(MIN_REQUESTS_PER_SECOND, perSecond);
        double seconds = BURST_TIME.toMillis() / (double) TimeUnit.SECONDS.toMillis(1);
        return new RateLimit(target, rate, Math.max(1, rate * seconds));
    }

    /**
     * Leaves most of what is allowed beyond the rate to requests that cross each other's reports.
     */
    private static RateLimit toStrictLimit(String target, double perSecond) {
        double rate = Math.max(MIN_REQUESTS_PER_SECOND, perSecond);
        double slack = STRICT_SLACK_PART * rate + STRICT_SLACK_REQUESTS;
        return new RateLimit(target, rate, Math.max(1, STRICT_BURST_PART * slack));
    }

    /**
     * Returns the limit of a target.
     *
     * @param target the target
     * @return requests per second, the lower of what it stated and what it takes while it is cold;
     *     empty if it has no limit
     */
    public OptionalDouble limit(String target) {
        State state = limitedCount == 0 ? null : states.get(target);
        return state == null ? OptionalDouble.empty() : state.limit();
    }

    /**
     * Whether no target has a limit.
     *
     * @return true if every target may get any number of requests
     */
    public boolean isEmpty() {
        return limitedCount == 0;
    }

    /**
     * Whether no instance has heard of a target's limit for a while, so that a request is wanted
     * whose response shows whether it still holds.
     *
     * @param target the target
     * @param now the time
     * @return false without a limit
     */
    public boolean isUnconfirmed(String target, long now) {
        State state = states.get(target);
        return state != null
                && isLimited(state)
                && state.coldPerSecond.isEmpty()
                && now - state.latest.at() >= CONFIRMATION_INTERVAL.toNanos();
    }

    /**
     * Returns when a target's limit allows another request.
     *
     * @param target the target
     * @param now the time
     * @return 0 if it allows one now or there is no limit, otherwise the time until it does
     */
    public long nanosUntilRequest(String target, long now) {
        return limitedCount == 0 ? 0 : quota.nanosUntilAdmission(target, now);
    }

    /**
     * A request of any kind is sent to a target, or is going to be sent when the limit allows it.
     *
     * @param target the target
     * @param now the time
     */
    public void onRequest(String target, long now) {
        if (limit(target).isEmpty()) {
            return;
        }
        quota.admit(target, now);
        State state = states.get(target);
        if (!state.hasRequests) {
            state.hasRequests = true;
            state.firstRequestAt = now;
        }
        state.lastRequestAt = now;
        recentlyChanged.add(target);
    }

    /**
     * Forgets targets that have not been registered for a while.
     *
     * @param registered the targets that are registered now
     * @param now the time
     */
    public void onRegistered(Set<String> registered, long now) {
        states.forEach((target, state) -> state.setRegistered(registered.contains(target), now));
        List<String> gone =
                states.entrySet().stream()
                        .filter(each -> each.getValue().isGone(now))
                        .map(Map.Entry::getKey)
                        .toList();
        gone.forEach(quota::removeLimit);
        states.keySet().removeAll(gone);
        countLimited();
        quota.retainCounts(states.keySet());
    }

    /**
     * Returns what to report to the other instances.
     *
     * @param isFull whether to name all limited targets, else those with a change or a request
     *     lately
     * @param now the time
     * @return the targets, those with the latest change or request first
     */
    public List<Report> reports(boolean isFull, long now) {
        recentlyChanged.removeIf(each -> !hasNews(each, now));
        return (isFull ? states.keySet() : recentlyChanged)
                .stream()
                        .map(each -> Map.entry(each, states.get(each)))
                        .filter(each -> isReported(each.getValue(), isFull, now))
                        .sorted(
                                (a, b) ->
                                        Long.signum(
                                                changedAt(b.getValue()) - changedAt(a.getValue())))
                        .map(each -> toReport(each.getKey(), each.getValue(), now))
                        .toList();
    }

    private boolean hasNews(String target, long now) {
        State state = states.get(target);
        return state != null && hasNews(state, now);
    }

    private boolean hasNews(State state, long now) {
        boolean hasOwnNews = state.own.isPresent() && now - state.ownChangedAt < repeatNanos;
        boolean hasNewRequests = state.hasRequests && now - state.lastRequestAt < repeatNanos;
        return hasOwnNews || hasNewRequests || hasColdNews(state, now);
    }

    private boolean isReported(State state, boolean isFull, long now) {
        boolean isKnownHere = state.own.isPresent() || state.hasRequests;
        boolean isReportedInFull = isFull && isLimited(state) && isKnownHere;
        return state.isRegistered && (isReportedInFull || hasNews(state, now));
    }

    private boolean hasColdNews(State state, long now) {
        return state.hasColdEvidence
                && now - state.coldSeenAt < repeatNanos
                && state.coldUntil - now > 0;
    }

    private static long changedAt(State state) {
        return Math.max(
                state.hasColdEvidence ? state.coldSeenAt : state.ownChangedAt,
                state.hasRequests
                        ? Math.max(state.ownChangedAt, state.lastRequestAt)
                        : state.ownChangedAt);
    }

    private Report toReport(String target, State state, long now) {
        long sent = quota.admittedCounts().getOrDefault(target, 0L);
        long sentSince = state.hasRequests ? now - state.firstRequestAt : 0;
        Optional<Statement> statement =
                state.own.filter(own -> own.perSecond().equals(state.latest.perSecond()));
        return new Report(
                target,
                statement,
                new AdmittedCount(sent, sentSince),
                hasColdNews(state, now)
                        ? OptionalLong.of(state.coldUntil - now)
                        : OptionalLong.empty());
    }
}
