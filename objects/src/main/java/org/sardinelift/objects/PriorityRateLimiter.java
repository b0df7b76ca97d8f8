package org.sardinelift.objects;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** Token bucket with one queue per priority. The caller passes the time and synchronizes access. */
final class PriorityRateLimiter {
    private static final double NANOS_PER_SECOND = 1e9;

    private final CallBudget budget;
    private final Map<CallPriority, Deque<Runnable>> queues = new EnumMap<>(CallPriority.class);
    private double tokens;
    private long refilledNanos;

    private PriorityRateLimiter(CallBudget budget, long nowNanos) {
        this.budget = budget;
        this.tokens = budget.burst();
        this.refilledNanos = nowNanos;
        Stream.of(CallPriority.values()).forEach(each -> queues.put(each, new ArrayDeque<>()));
    }

    static PriorityRateLimiter create(CallBudget budget, long nowNanos) {
        return new PriorityRateLimiter(budget, nowNanos);
    }

    /** Queues a call; returns false if the limit of queued calls is reached. */
    boolean enqueue(CallPriority priority, Runnable call) {
        if (queuedCalls() >= budget.maxQueued()) {
            return false;
        }
        queues.get(priority).add(call);
        return true;
    }

    /** Removes and returns the next call if a token is available, and spends the token. */
    Optional<Runnable> dequeue(long nowNanos) {
        refill(nowNanos);
        if (tokens < 1) {
            return Optional.empty();
        }
        Optional<Runnable> next =
                queues.values().stream().map(Deque::poll).filter(call -> call != null).findFirst();
        next.ifPresent(call -> tokens--);
        return next;
    }

    /** Returns the nanoseconds until a token is available, 0 if one is. */
    long nanosUntilNextToken(long nowNanos) {
        refill(nowNanos);
        double missing = Math.max(0, 1 - tokens);
        return (long) Math.ceil(missing / budget.callsPerSecond() * NANOS_PER_SECOND);
    }

    int queuedCalls() {
        return queues.values().stream().mapToInt(Deque::size).sum();
    }

    private void refill(long nowNanos) {
        double earned = (nowNanos - refilledNanos) / NANOS_PER_SECOND * budget.callsPerSecond();
        tokens = Math.min(budget.burst(), tokens + earned);
        refilledNanos = nowNanos;
    }
}
