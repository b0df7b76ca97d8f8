package org.sardinelift.core.admission;

/** Demand, mean slot time and credit of a team at one gateway. */
final class ShareAccount {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Time over which demand is averaged, seconds. */
    private static final double WINDOW_SECONDS = 1;

    /** Smallest weight of a completed call in the mean slot time; the first ones weigh more. */
    private static final double MIN_SAMPLE_WEIGHT = 0.05;

    /** Time of the team's share that may be saved up, seconds; absorbs uneven arrivals. */
    private static final double SAVED_SECONDS = 0.5;

    /** Time of the team's share that returning callers may use in advance, seconds. */
    private static final double ADVANCE_SECONDS = 1;

    /** Least number of calls in advance, for gateways that get few calls of the team. */
    private static final double MIN_ADVANCE_CALLS = 3;

    private final double weight;
    private double slotSeconds;
    private int completed;
    private double slots;
    private long updatedAt;
    private double credit;

    ShareAccount(double weight, double slotSeconds, long now) {
        this.weight = weight;
        this.slotSeconds = slotSeconds;
        this.updatedAt = now;
    }

    double weight() {
        return weight;
    }

    double slotSeconds() {
        return slotSeconds;
    }

    long idleNanos(long now) {
        return now - updatedAt;
    }

    /** Slots that the first tries of the last second demand. */
    double slots(long now) {
        double seconds = (now - updatedAt) / NANOS_PER_SECOND;
        return slots * Math.exp(-seconds / WINDOW_SECONDS);
    }

    /**
     * Counts a first try.
     *
     * @return the demand with half of this call. At the arrival of a call the demand without it is
     *     too low and with it too high for the mean of 1 / demand.
     */
    double onFirstTry(long now) {
        double before = slots(now);
        double added = slotSeconds / WINDOW_SECONDS;
        slots = before + added;
        updatedAt = now;
        return before + added / 2;
    }

    void onCompleted(double seconds) {
        completed++;
        slotSeconds += Math.max(MIN_SAMPLE_WEIGHT, 1.0 / (1 + completed)) * (seconds - slotSeconds);
    }

    /**
     * Charges a first try to the credit.
     *
     * @param fraction fraction of the team's calls that is due to it, above 1 if it demands less
     * @param draw number distributed evenly over 0 to 1
     * @return whether the call is within the share
     */
    boolean tryUse(double fraction, double draw, long now) {
        double saved = credit + fraction;
        if (fraction >= 1 || saved >= 1) {
            credit = Math.min(saved - 1, savedLimit(fraction, now));
            return true;
        }
        if (saved <= 0) {
            credit = saved;
            return false;
        }
        // A gateway that gets a call of the team once in a while can't save up a whole call.
        credit = 0;
        return draw < saved;
    }

    /** Charges a caller that returns, and returns whether the credit allows it. */
    boolean tryUseInAdvance(double fraction, long now) {
        if (fraction >= 1) {
            return true;
        }
        if (credit - 1 < -advanceLimit(fraction, now)) {
            return false;
        }
        credit--;
        return true;
    }

    /** Charges a call above the share that used a free slot, within the bound of advances. */
    void onFreeSlotUsed(double fraction, long now) {
        credit = Math.max(Math.min(credit, -advanceLimit(fraction, now)), credit - 1);
    }

    /** Returns the charge of a call that was not placed. */
    void refund(double fraction, long now) {
        credit = Math.min(credit + 1, 1 + savedLimit(fraction, now));
    }

    private double savedLimit(double fraction, long now) {
        return SAVED_SECONDS * callsPerSecond(fraction, now);
    }

    private double advanceLimit(double fraction, long now) {
        return Math.max(MIN_ADVANCE_CALLS, ADVANCE_SECONDS * callsPerSecond(fraction, now));
    }

    /** Calls per second here that are due to the team. */
    private double callsPerSecond(double fraction, long now) {
        return Math.min(1, fraction) * slots(now) / slotSeconds;
    }
}
