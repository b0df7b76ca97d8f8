package org.sardinelift.core.limit;

import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * One entry's hold on its units of {@link Shares}.
 *
 * <p>What it rests on. Only an entry itself raises its units in the platform's object, and it uses
 * a raise only after its own conditional write was confirmed in time; before it gives units away it
 * stops using them and waits until its loans have expired. A write without an answer is settled by
 * reading the object and writing it once more from the version read: the condition holds only where
 * the read was current, so neither a lost answer nor a stale read leads to a raise. Others take an
 * entry's units only when the platform's list has missed it for {@link LimitBounds#reclaimDelay()}
 * and no connection to it is open, or when a newer life of the same instance has been known for
 * {@link LimitBounds#restartDelay()}. An entry that was paused, hears nobody, can't reach the
 * platform while a peer can, or misses itself in the list, stops using its units well before that
 * and starts again only after a confirmed write. While the platform is away for all, nobody can
 * take units, and all go on. What remains is an entry that the platform lists as gone though it
 * runs, while it and every peer that it hears are cut off from the platform and an entry that it
 * doesn't hear is not: the list is trusted not to drop a running instance for the whole delay.
 *
 * <p>Times are nanoseconds of a monotonic clock. Not safe for use by several threads.
 */
public final class ShareLedger {
    private final MemberId self;
    private final LimitBounds bounds;
    private final ShareCallScheduler calls;
    private final AbsenceTracker absences;
    private final ShareBalancer parts;
    private final ContactTracker contact;
    private Shares shares = Shares.initial();
    private long version;
    private boolean known;
    private boolean current;
    private long usableUnits;
    private long fresh;
    private long giving;
    private long giveAt;
    private boolean giveTried;
    private long poolSince;
    private boolean leaving;
    private long lastTick;
    private boolean ticked;
    private boolean confirmable;
    private Shares writing = shares;

    private ShareLedger(MemberId self, LimitBounds bounds, RandomGenerator random) {
        this.self = self;
        this.bounds = bounds;
        this.calls = new ShareCallScheduler(bounds, random);
        this.absences = new AbsenceTracker(self.instance(), bounds);
        this.parts = new ShareBalancer(self, absences);
        this.contact = new ContactTracker(bounds);
    }

    /**
     * A new life of an entry, without units.
     *
     * @param self this entry
     * @param bounds intervals and bounds
     * @param random for jitter
     * @return the ledger
     */
    public static ShareLedger create(MemberId self, LimitBounds bounds, RandomGenerator random) {
        return new ShareLedger(self, bounds, random);
    }

    /**
     * Checks what may still be used, and decides whether a call is due.
     *
     * @param now the time
     * @return the call to make, empty to wait
     */
    public Optional<ShareCall> tick(long now) {
        checkValidity(now);
        if (calls.hasTimedOut(now)) {
            failed(now);
        }
        if (!calls.isDue(now)) {
            return Optional.empty();
        }
        confirmable = true;
        long number = calls.begin(now);
        if (!known || !current) {
            return Optional.of(new ShareCall.Read(number));
        }
        absences.update(shares, now);
        Shares next = plan(now);
        if (next == shares && next.units(self) == usableUnits + giving) {
            current = false;
            return Optional.of(new ShareCall.Read(number));
        }
        writing = next;
        giveTried |= giving > 0 && now >= giveAt;
        return Optional.of(new ShareCall.Write(number, version, next));
    }

    /**
     * When {@link #tick} has something to do next, unless something happens before.
     *
     * @param now the time
     * @return that time, or one that has passed
     */
    public long dueAt(long now) {
        long call = calls.dueAt();
        if (usableUnits == 0 && giving == 0) {
            return call;
        }
        long stop = Math.min(contact.isolationDeadline(), absences.selfMissingDeadline());
        long keep = isGivingUntouched() ? contact.platformContactDeadline() : Long.MAX_VALUE;
        return contact.mayHaveLostUnits(now) ? now : Math.min(Math.min(call, keep), stop);
    }

    /** Whether units that are to be given away haven't been written yet and may still be kept. */
    private boolean isGivingUntouched() {
        return giving > 0 && !leaving && !giveTried;
    }

    /**
     * Stops the use of units where others may have taken them.
     *
     * @param now the time
     */
    public void checkValidity(long now) {
        boolean paused = ticked && now - lastTick > bounds.pauseBound().toNanos();
        lastTick = now;
        ticked = true;
        if (paused) {
            absences.clearTimes();
        }
        if (paused || contact.mayHaveLostUnits(now) || absences.isSelfMissing(now)) {
            suspend(now);
        }
        if (isGivingUntouched() && contact.platformAge(now) > bounds.contactBound().toNanos()) {
            usableUnits += giving;
            giving = 0;
        }
    }

    /**
     * The shares were read.
     *
     * @param call number of the call
     * @param readVersion version of the object, 0 where there is none
     * @param read what it holds, {@link Shares#initial()} where there is none
     * @param now the time
     */
    public void onRead(long call, long readVersion, Shares read, long now) {
        if (!calls.isInFlight(call)) {
            return;
        }
        onAnswer(now);
        if (readVersion < version) {
            failed(now);
            return;
        }
        take(readVersion, read, now);
        absences.update(shares, now);
        giveAway(parts.unitsForStarvedMembers(shares, usableUnits), now);
        boolean settled = plan(now) == shares && shares.units(self) == usableUnits + giving;
        current = !settled;
        endRead(settled, now);
    }

    /**
     * The write took effect.
     *
     * @param call number of the call
     * @param newVersion the object's version
     * @param now the time
     */
    public void onWritten(long call, long newVersion, long now) {
        if (!calls.isInFlight(call)) {
            return;
        }
        onAnswer(now);
        long freshTaken = shares.fresh() - writing.fresh();
        take(newVersion, writing, now);
        if (confirmable && !leaving && !absences.isSelfMissing(now)) {
            usableUnits = Math.max(0, shares.units(self) - giving);
            fresh += freshTaken;
        }
        current = true;
        calls.end(bounds.retry(), now);
    }

    /**
     * A call had no clear or no good outcome: the shares are read again.
     *
     * @param call number of the call
     * @param now the time
     */
    public void onFailed(long call, long now) {
        if (calls.isInFlight(call)) {
            failed(now);
        }
    }

    /**
     * The platform's list was read.
     *
     * @param entries instances that it shows
     * @param now the time
     */
    public void onListed(Set<String> entries, long now) {
        absences.onListed(entries, now);
        contact.onPlatformContact(now);
    }

    /**
     * The set of peers with an open connection has changed. The shares are read again soon after a
     * new one, which may need units.
     *
     * @param peers their names
     */
    public void onConnected(Set<String> peers) {
        if (absences.onConnected(peers)) {
            calls.scheduleWithinRetryPause(lastTick);
        }
    }

    /**
     * A peer has said when it last reached the platform.
     *
     * @param peer its name
     * @param platformAgeNanos time since then
     * @param now the time
     */
    public void onPeerReport(String peer, long platformAgeNanos, long now) {
        contact.onPeerReport(peer, platformAgeNanos, now);
    }

    /**
     * The connection to a peer was lost.
     *
     * @param peer its name
     */
    public void onPeerDown(String peer) {
        contact.onPeerDown(peer);
    }

    /**
     * Tells how many units this entry lacks, or could do without, by what it borrowed and lent.
     *
     * @param units units lacking, negative for units to spare
     * @param now the time
     */
    public void updateDemand(long units, long now) {
        parts.updateDemand(units);
        giveAway(parts.surplusUnits(shares, usableUnits), now);
    }

    private void giveAway(long units, long now) {
        boolean inTouch = contact.platformAge(now) <= bounds.contactBound().toNanos();
        if (units > 0 && giving == 0 && !leaving && inTouch) {
            give(units, now);
        }
    }

    /**
     * Gives all units back, since this entry is about to stop.
     *
     * @param now the time
     */
    public void leave(long now) {
        leaving = true;
        give(usableUnits, now);
    }

    /**
     * Whether this entry is leaving and the shares, as last read or written, no longer list it.
     *
     * @return true once the platform has confirmed that all units were given back
     */
    public boolean hasLeft() {
        return leaving && known && usableUnits == 0 && !shares.members().containsKey(self);
    }

    /**
     * Units that may be used now.
     *
     * @return units of {@link Shares#TOTAL_UNITS}
     */
    public long usableUnits() {
        return usableUnits;
    }

    /**
     * Whether units came with full buckets that {@link #pollFreshUnits} would return.
     *
     * @return true where there are some
     */
    public boolean hasFreshUnits() {
        return fresh > 0;
    }

    /**
     * Takes the units that came with full buckets: those that no entry had held before a confirmed
     * write of this one took them. After an unclear outcome there are none.
     *
     * @return such units since the last call
     */
    public long pollFreshUnits() {
        long taken = fresh;
        fresh = 0;
        return taken;
    }

    /**
     * Units that this entry may use and that connected peers hold, as last read.
     *
     * @param peers names of connected peers
     * @return units of {@link Shares#TOTAL_UNITS}
     */
    public long reachableUnits(Set<String> peers) {
        return usableUnits + shares.unitsOf(peers);
    }

    /**
     * Units that a peer holds, as last read.
     *
     * @param peer its name
     * @return units of {@link Shares#TOTAL_UNITS}
     */
    public long unitsOf(String peer) {
        return shares.unitsOf(Set.of(peer));
    }

    private void give(long units, long now) {
        usableUnits -= units;
        giving += units;
        giveTried = false;
        giveAt = now + bounds.loanTtl().plus(bounds.loanMargin()).toNanos();
        calls.scheduleNoLaterThan(giveAt);
    }

    private void suspend(long now) {
        confirmable = false;
        fresh = 0;
        if (usableUnits > 0 || giving > 0) {
            usableUnits = 0;
            giving = 0;
            current = false;
            calls.scheduleNoLaterThan(now);
        }
    }

    private void take(long newVersion, Shares newShares, long now) {
        if (!known || newShares.pool() == 0 || shares.pool() == 0) {
            poolSince = now;
        }
        version = newVersion;
        shares = newShares;
        known = true;
        long held = shares.units(self);
        usableUnits = Math.min(usableUnits, held);
        giving = Math.max(0, Math.min(giving, held - usableUnits));
    }

    private void onAnswer(long now) {
        contact.onPlatformContact(calls.sentAt());
        calls.recordLatency(now);
    }

    private void failed(long now) {
        current = false;
        calls.abandon(now);
    }

    /** The shares as they should be, the same object where nothing is to be changed. */
    private Shares plan(long now) {
        Shares next = leaving ? shares : shares.addMember(self, version + 1);
        for (MemberId other : shares.members().keySet()) {
            if (!other.equals(self) && absences.isReclaimable(other, bounds, now)) {
                next = next.removeMember(other);
            }
        }
        if (giving > 0 && now >= giveAt) {
            next = next.transferFromPool(self, -giving);
        }
        if (leaving
                && usableUnits == 0
                && next.units(self) == 0
                && next.members().containsKey(self)) {
            return next.removeMember(self);
        }
        boolean taking = absences.mayAcquireUnits() && !leaving && giving == 0;
        boolean rested = now - poolSince > bounds.balanceInterval().toNanos();
        long wanted = taking ? parts.unitsWanted(shares, next, rested) : 0;
        return wanted > 0 ? next.transferFromPool(self, wanted) : next;
    }

    /** The next read comes after a pause, shorter for an entry that holds nothing yet. */
    private void endRead(boolean settled, long now) {
        if (settled) {
            calls.end(usableUnits + giving == 0 ? bounds.retry() : bounds.readInterval(), now);
        } else {
            calls.end(now);
        }
    }
}
