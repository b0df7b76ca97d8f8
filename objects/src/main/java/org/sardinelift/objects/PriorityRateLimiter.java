package org.sardinelift.objects;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** Token bucket with a queue for each class of calls; time is given by the caller. */
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

    /** Queues a call; returns false where the queue is full. */
    boolean enqueue(CallPriority callClass, Runnable call) {
        if (queuedCalls() >= budget.maxQueued()) {
            return false;
        }
        queues.get(callClass).add(call);
        return true;
    }

    /** Takes the next call that the budget allows now. */
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

    /** Time until a token is there, nanoseconds; 0 where one is. */
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
