package org.sardinelift.core.load;

import java.time.Duration;

/**
 * Whether one target can be sent calls, from what its calls show. A target that doesn't answer is
 * left out until a probe succeeds; one that often fails is left out for growing pauses. Times are
 * nanoseconds of a monotonic clock. Not safe for use by several threads at once.
 */
public final class TargetHealth {
    /** Weight of the newest sample in the running means. */
    private static final double WEIGHT = 0.2;

    /** Part of failed calls from which a target is left out for a while. */
    private static final double TOO_MANY_FAILURES = 0.35;

    private static final int LEAST_CALLS = 4;
    private static final int MAX_DOUBLINGS = 4;

    private final long probeNanos;
    private final long pauseNanos;
    private double timeToFirstEventNanos;
    private double callNanos;
    private double eventGapNanos;
    private double failures;
    private int calls;
    private int pauses;
    private boolean down;
    private boolean probing;
    private long probeAt;
    private long pausedUntil;
    private boolean paused;

    private TargetHealth(
            Duration probe, Duration pause, Duration first, Duration call, Duration gap) {
        this.probeNanos = probe.toNanos();
        this.pauseNanos = pause.toNanos();
        this.timeToFirstEventNanos = first.toNanos();
        this.callNanos = call.toNanos();
        this.eventGapNanos = gap.toNanos();
    }

    /**
     * A target of which nothing is known.
     *
     * @param probe time between probes of a target that doesn't answer
     * @param pause first pause of a target that often fails
     * @param first usual time to the first event
     * @param call usual time that a call holds a slot
     * @param gap usual time between two events
     * @return its health
     */
    public static TargetHealth of(
            Duration probe, Duration pause, Duration first, Duration call, Duration gap) {
        return new TargetHealth(probe, pause, first, call, gap);
    }

    /**
     * A call got its first event.
     *
     * @param nanos time since the send, less the wait that was expected
     */
    public void onFirstEvent(long nanos) {
        timeToFirstEventNanos = mean(timeToFirstEventNanos, Math.max(0, nanos));
    }

    /**
     * A call ended well.
     *
     * @param nanos time since its first event
     * @param gaps pauses between events in it
     */
    public void onSuccess(long nanos, int gaps) {
        callNanos = mean(callNanos, nanos + timeToFirstEventNanos);
        if (gaps > 0) {
            eventGapNanos = mean(eventGapNanos, (double) nanos / gaps);
        }
        note(0);
        pauses = 0;
    }

    /**
     * A call failed in a way that speaks against the target.
     *
     * @param now the time
     * @return whether the target is left out from now on
     */
    public boolean onFailure(long now) {
        note(1);
        if (paused || calls < LEAST_CALLS || failures < TOO_MANY_FAILURES) {
            return false;
        }
        paused = true;
        pausedUntil = now + (pauseNanos << Math.min(MAX_DOUBLINGS, pauses++));
        return true;
    }

    private void note(double failed) {
        calls++;
        failures = mean(failures, failed);
    }

    /**
     * The target doesn't answer.
     *
     * @param now the time
     * @return whether that is news
     */
    public boolean onSilent(long now) {
        if (down) {
            return false;
        }
        down = true;
        probing = false;
        probeAt = now;
        return true;
    }

    /**
     * Takes the turn to probe the target.
     *
     * @param now the time
     * @return whether it is to be probed now
     */
    public boolean tryStartProbe(long now) {
        if (!down || probing || now - probeAt < 0) {
            return false;
        }
        probing = true;
        return true;
    }

    /**
     * A probe has ended.
     *
     * @param answered whether the target answered
     * @param now the time
     */
    public void onProbeEnded(boolean answered, long now) {
        probing = false;
        down = down && !answered;
        probeAt = now + probeNanos;
    }

    /**
     * Whether calls may be sent to the target.
     *
     * @param now the time
     * @return false while it is left out
     */
    public boolean isUsable(long now) {
        if (paused && now - pausedUntil >= 0) {
            paused = false;
            // One failure leaves it out again, some good calls clear it.
            failures = TOO_MANY_FAILURES / 2;
        }
        return !down && !paused;
    }

    /**
     * Usual time from the send to the first event where a slot is free.
     *
     * @return nanoseconds
     */
    public long timeToFirstEventNanos() {
        return (long) timeToFirstEventNanos;
    }

    /**
     * Usual time that a call holds a slot.
     *
     * @return nanoseconds
     */
    public long callNanos() {
        return (long) callNanos;
    }

    /**
     * Usual time between two events.
     *
     * @return nanoseconds
     */
    public long eventGapNanos() {
        return (long) eventGapNanos;
    }

    private static double mean(double before, double sample) {
        return before + WEIGHT * (sample - before);
    }
}
