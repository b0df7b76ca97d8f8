package org.sardinelift.core.load;

import java.time.Duration;

/**
 * Health of one target, as seen from the calls sent to it. A target that does not answer gets no
 * calls until a probe succeeds; one that often fails gets none for increasingly long pauses. Times
 * are nanoseconds of a monotonic clock. Not thread-safe.
 */
public final class TargetHealth {
    /** Weight of the newest sample in the running means. */
    private static final double SAMPLE_WEIGHT = 0.2;

    /** Fraction of failed calls from which a target is paused. */
    private static final double MAX_FAILURE_RATE = 0.35;

    private static final int MIN_CALLS_TO_PAUSE = 4;
    private static final int MAX_PAUSE_DOUBLINGS = 4;

    private final long probeIntervalNanos;
    private final long firstPauseNanos;
    private double timeToFirstEventNanos;
    private double callNanos;
    private double eventGapNanos;
    private final WorkTime workTime = WorkTime.create();
    private double failureRate;
    private int calls;
    private int pauses;
    private boolean isSilent;
    private boolean isProbing;
    private long nextProbeAt;
    private long pausedUntil;
    private boolean isPaused;

    private TargetHealth(
            Duration probeInterval,
            Duration firstPause,
            Duration timeToFirstEvent,
            Duration callTime,
            Duration eventGap) {
        this.probeIntervalNanos = probeInterval.toNanos();
        this.firstPauseNanos = firstPause.toNanos();
        this.timeToFirstEventNanos = timeToFirstEvent.toNanos();
        this.callNanos = callTime.toNanos();
        this.eventGapNanos = eventGap.toNanos();
    }

    /**
     * Creates the health of a target that has had no calls yet.
     *
     * @param probeInterval time between probes of a target that does not answer
     * @param firstPause first pause of a target that often fails
     * @param timeToFirstEvent usual time to the first event
     * @param callTime usual time that a call occupies a slot
     * @param eventGap usual time between two events
     * @return the health
     */
    public static TargetHealth of(
            Duration probeInterval,
            Duration firstPause,
            Duration timeToFirstEvent,
            Duration callTime,
            Duration eventGap) {
        return new TargetHealth(probeInterval, firstPause, timeToFirstEvent, callTime, eventGap);
    }

    /**
     * The first event of a call arrived.
     *
     * @param nanos time since the call was sent, less the expected wait
     */
    public void onFirstEvent(long nanos) {
        timeToFirstEventNanos = mean(timeToFirstEventNanos, Math.max(0, nanos));
    }

    /**
     * A call succeeded.
     *
     * @param nanos time since its first event
     * @param gaps number of gaps between its events
     */
    public void onSuccess(long nanos, int gaps) {
        callNanos = mean(callNanos, nanos + timeToFirstEventNanos);
        if (gaps > 0) {
            eventGapNanos = mean(eventGapNanos, (double) nanos / gaps);
        }
        recordOutcome(0);
        pauses = 0;
    }

    /**
     * How long work takes at the target, as it states.
     *
     * @return the work time
     */
    public WorkTime workTime() {
        return workTime;
    }

    /**
     * A call failed in a way that indicates a fault of the target.
     *
     * @param now the time
     * @return whether the target is paused because of this failure
     */
    public boolean onFailure(long now) {
        recordOutcome(1);
        if (isPaused || calls < MIN_CALLS_TO_PAUSE || failureRate < MAX_FAILURE_RATE) {
            return false;
        }
        isPaused = true;
        pausedUntil = now + (firstPauseNanos << Math.min(MAX_PAUSE_DOUBLINGS, pauses++));
        return true;
    }

    private void recordOutcome(double failed) {
        calls++;
        failureRate = mean(failureRate, failed);
    }

    /**
     * The target did not answer.
     *
     * @param now the time
     * @return false if it was already known not to answer
     */
    public boolean onSilent(long now) {
        if (isSilent) {
            return false;
        }
        isSilent = true;
        isProbing = false;
        nextProbeAt = now;
        return true;
    }

    /**
     * Starts a probe of the target if one is due.
     *
     * @param now the time
     * @return whether the target is to be probed now
     */
    public boolean tryStartProbe(long now) {
        if (!isSilent || isProbing || now - nextProbeAt < 0) {
            return false;
        }
        isProbing = true;
        return true;
    }

    /**
     * A probe ended.
     *
     * @param hasAnswered whether the target answered
     * @param now the time
     */
    public void onProbeEnded(boolean hasAnswered, long now) {
        isProbing = false;
        isSilent = isSilent && !hasAnswered;
        nextProbeAt = now + probeIntervalNanos;
    }

    /**
     * Returns whether calls may be sent to the target.
     *
     * @param now the time
     * @return false while it does not answer or is paused
     */
    public boolean isUsable(long now) {
        if (isPaused && now - pausedUntil >= 0) {
            isPaused = false;
            // Two failures in a row pause it again, some successes clear it.
            failureRate = MAX_FAILURE_RATE / 2;
        }
        return !isSilent && !isPaused;
    }

    /**
     * Returns the usual time from sending a call to its first event if a slot is free.
     *
     * @return nanoseconds
     */
    public long timeToFirstEventNanos() {
        return (long) timeToFirstEventNanos;
    }

    /**
     * Returns the usual time that a call occupies a slot.
     *
     * @return nanoseconds
     */
    public long callNanos() {
        return (long) callNanos;
    }

    /**
     * Returns the usual time between two events.
     *
     * @return nanoseconds
     */
    public long eventGapNanos() {
        return (long) eventGapNanos;
    }

    private static double mean(double before, double sample) {
        return before + SAMPLE_WEIGHT * (sample - before);
    }
}
