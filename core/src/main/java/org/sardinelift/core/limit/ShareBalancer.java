package org.sardinelift.core.limit;

/**
 * Computes how many units one entry should acquire or release, from the shares, the platform's list
 * and the entry's own demand.
 */
final class ShareBalancer {
    private static final int MIN_SHARE_DIVISOR = 4;
    private static final int STARVED_SHARE_DIVISOR = 8;

    private final MemberId self;
    private final AbsenceTracker absences;
    private long demand;

    ShareBalancer(MemberId self, AbsenceTracker absences) {
        this.self = self;
        this.absences = absences;
    }

    /** Sets the number of units that this entry lacks, negative for a surplus. */
    void updateDemand(long units) {
        demand = units;
    }

    /** Units that this entry doesn't need; it keeps at least a part of an equal share. */
    long surplusUnits(Shares shares, long usable) {
        return Math.min(-demand, usable - equalShare(shares) / MIN_SHARE_DIVISOR);
    }

    /** Units to release for entries that have hardly any, as far as the pool can't provide them. */
    long unitsForStarvedMembers(Shares shares, long usable) {
        long equalShare = equalShare(shares);
        long shortfall =
                shares.shortfall(equalShare / STARVED_SHARE_DIVISOR, equalShare) - shares.pool();
        return Math.min(usable - equalShare, shortfall);
    }

    /**
     * Units to acquire from the pool of the next shares. Once units have been idle in the pool, a
     * part of them is acquired even without need.
     */
    long unitsWanted(Shares shares, Shares next, boolean isPoolIdle) {
        long shortfall = Math.max(0, equalShare(shares) - next.units(self));
        long poolPart = isPoolIdle ? next.pool() / entryCount(shares) + 1 : 0;
        long needed = demand < 0 ? poolPart : Math.max(Math.max(demand, shortfall), poolPart);
        return Math.min(next.pool(), needed);
    }

    private long equalShare(Shares shares) {
        return Shares.TOTAL_UNITS / entryCount(shares);
    }

    private int entryCount(Shares shares) {
        return Math.max(1, Math.max(absences.listedCount(), shares.members().size()));
    }
}
