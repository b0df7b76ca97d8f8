package org.sardinelift.core.limit;

/** How many units one entry should hold, give and take, by what the shares and the list show. */
final class ShareBalancer {
    private static final int LEAST_PARTS = 4;
    private static final int STARVING_PARTS = 8;

    private final MemberId self;
    private final AbsenceTracker absences;
    private long updateDemand;

    ShareBalancer(MemberId self, AbsenceTracker absences) {
        this.self = self;
        this.absences = absences;
    }

    /** Sets the units that this entry lacks, negative for units to spare. */
    void updateDemand(long units) {
        updateDemand = units;
    }

    /** Units that this entry can do without while it keeps a least part. */
    long surplusUnits(Shares shares, long usable) {
        return Math.min(-updateDemand, usable - equal(shares) / LEAST_PARTS);
    }

    /** Units to give to entries that hold hardly any, where the pool can't give them. */
    long unitsForStarvedMembers(Shares shares, long usable) {
        long equal = equal(shares);
        long lacking = shares.shortfall(equal / STARVING_PARTS, equal) - shares.pool();
        return Math.min(usable - equal, lacking);
    }

    /**
     * Units to take from the pool of the next shares; a part of it also without need once units
     * have rested there.
     */
    long unitsWanted(Shares shares, Shares next, boolean rested) {
        long lacking = Math.max(0, equal(shares) - next.units(self));
        long part = rested ? next.pool() / count(shares) + 1 : 0;
        long needed = updateDemand < 0 ? part : Math.max(Math.max(updateDemand, lacking), part);
        return Math.min(next.pool(), needed);
    }

    private long equal(Shares shares) {
        return Shares.TOTAL_UNITS / count(shares);
    }

    private int count(Shares shares) {
        return Math.max(1, Math.max(absences.listedCount(), shares.members().size()));
    }
}
