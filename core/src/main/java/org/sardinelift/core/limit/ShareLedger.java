package org.sardinelift.core.limit;

import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Decides which units of {@link Shares} one entry may use, and reads and writes the shares.
 *
 * <p>The following rules ensure that no unit is used by two entries. Only an entry itself raises
 * its units in the platform's object, and it uses a raise only after its own conditional write was
 * confirmed in time. Before it releases units it stops using them and waits until its loans have
 * expired. A write without an answer is resolved by reading the object and writing it once more at
 * the version read; the condition holds only if the read was current, so neither a lost answer nor
 * a stale read leads to a raise. Others reclaim an entry's units only after the platform's list has
 * lacked it for {@link LimitBounds#reclaimDelay()} while no connection to it is open, or after a
 * newer incarnation of the same instance has been known for {@link LimitBounds#restartDelay()}. An
 * entry that was paused, has no contact with anyone, can't reach the platform while a peer can, or
 * is missing from the list stops using its units well before that, and resumes only after a
 * confirmed write. While no entry can reach the platform, none can reclaim units, and all continue.
 *
 * <p>One case is not covered: the platform's list lacks a running entry, which is cut off from the
 * platform along with all peers connected to it, while an entry that isn't connected to it can
 * reach the platform. The list is trusted not to drop a running instance for the whole delay.
 *
 * <p>Times are nanoseconds of a monotonic clock. Not safe for use by several threads.
 */
public final class ShareLedger {
    private final MemberId self;
    private final LimitBounds bounds;
    private final ShareCallScheduler scheduler;
    private final AbsenceTracker absences;
    private final ShareBalancer balancer;
    private final ContactTracker contact;
    private Shares shares = Shares.initial();
    private long version;
    private boolean hasRead;
    private boolean isCurrent;
    private long usableUnits;
    private long freshUnits;
    private long unitsToRelease;
    private long releaseAt;
    private boolean isReleaseSent;
    private long pooledSince;
    private boolean isLeaving;
    private long lastCheckAt;
    private boolean hasChecked;
    private boolean mayConfirm;
    private Shares pendingWrite = shares;

    private ShareLedger(MemberId self, LimitBounds bounds, RandomGenerator random) {
        this.self = self;
        this.bounds = bounds;
        this.scheduler = new ShareCallScheduler(bounds, random);
        this.absences = new AbsenceTracker(self.instance(), bounds);
        this.balancer = new ShareBalancer(self, absences);
        this.contact = new ContactTracker(bounds);
    }

    /**
     * Creates the ledger of a new incarnation of an entry, which has no units.
     *
     * @param self this entry
     * @param bounds intervals and bounds
     * @param random source of jitter
     * @return the ledger
     */
    public static ShareLedger create(MemberId self, LimitBounds bounds, RandomGenerator random) {
        return new ShareLedger(self, bounds, random);
    }

    /**
     * Checks which units may still be used, and decides whether a call is due.
     *
     * @param now current time
     * @return the call to make, empty if none is due
     */
    public Optional<ShareCall> tick(long now) {
        checkValidity(now);
        if (scheduler.hasTimedOut(now)) {
            abandonCall(now);
        }
        if (!scheduler.isDue(now)) {
            return Optional.empty();
        }
        mayConfirm = true;
        long number = scheduler.begin(now);
        if (!hasRead || !isCurrent) {
            return Optional.of(new ShareCall.Read(number));
        }
        absences.update(shares, now);
        Shares next = planShares(now);
        if (next == shares && next.units(self) == usableUnits + unitsToRelease) {
            isCurrent = false;
            return Optional.of(new ShareCall.Read(number));
        }
        pendingWrite = next;
        isReleaseSent |= unitsToRelease > 0 && now >= releaseAt;
        return Optional.of(new ShareCall.Write(number, version, next));
    }

    /**
     * Returns the time for the next call of {@link #tick}, unless an event comes before.
     *
     * @param now current time
     * @return that time, or one that has passed
     */
    public long dueAt(long now) {
        long callAt = scheduler.dueAt();
        if (usableUnits == 0 && unitsToRelease == 0) {
            return callAt;
        }
        long stopAt = Math.min(contact.isolationDeadline(), absences.selfMissingDeadline());
        long cancelReleaseAt =
                canCancelRelease() ? contact.platformContactDeadline() : Long.MAX_VALUE;
        return contact.mayHaveLostUnits(now)
                ? now
                : Math.min(Math.min(callAt, cancelReleaseAt), stopAt);
    }

    /**
     * Whether there are units to release whose release hasn't been written yet and may still be
     * cancelled.
     */
    private boolean canCancelRelease() {
        return unitsToRelease > 0 && !isLeaving && !isReleaseSent;
    }

    /**
     * Stops the use of units if others may have reclaimed them.
     *
     * @param now current time
     */
    public void checkValidity(long now) {
        boolean isPaused = hasChecked && now - lastCheckAt > bounds.pauseBound().toNanos();
        lastCheckAt = now;
        hasChecked = true;
        if (isPaused) {
            absences.clearTimes();
        }
        if (isPaused || contact.mayHaveLostUnits(now) || absences.isSelfMissing(now)) {
            suspend(now);
        }
        if (canCancelRelease() && contact.platformAge(now) > bounds.contactBound().toNanos()) {
            usableUnits += unitsToRelease;
            unitsToRelease = 0;
        }
    }

    /**
     * Handles the answer to a read.
     *
     * @param call number of the call
     * @param readVersion version of the object, 0 if it doesn't exist
     * @param readShares its value, {@link Shares#initial()} if it doesn't exist
     * @param now current time
     */
    public void onRead(long call, long readVersion, Shares readShares, long now) {
        if (!scheduler.isInFlight(call)) {
            return;
        }
        onAnswer(now);
        if (readVersion < version) {
            abandonCall(now);
            return;
        }
        updateShares(readVersion, readShares, now);
        absences.update(shares, now);
        releaseUnits(balancer.unitsForStarvedMembers(shares, usableUnits), now);
        boolean isSettled =
                planShares(now) == shares && shares.units(self) == usableUnits + unitsToRelease;
        isCurrent = !isSettled;
        endRead(isSettled, now);
    }

    /**
     * Handles the confirmation of a write.
     *
     * @param call number of the call
     * @param newVersion new version of the object
     * @param now current time
     */
    public void onWritten(long call, long newVersion, long now) {
        if (!scheduler.isInFlight(call)) {
            return;
        }
        onAnswer(now);
        long freshAcquired = shares.fresh() - pendingWrite.fresh();
        updateShares(newVersion, pendingWrite, now);
        if (mayConfirm && !isLeaving && !absences.isSelfMissing(now)) {
            usableUnits = Math.max(0, shares.units(self) - unitsToRelease);
            freshUnits += freshAcquired;
        }
        isCurrent = true;
        scheduler.end(bounds.retry(), now);
    }

    /**
     * Handles a call that failed or whose outcome is unclear: the shares are read again.
     *
     * @param call number of the call
     * @param now current time
     */
    public void onFailed(long call, long now) {
        if (scheduler.isInFlight(call)) {
            abandonCall(now);
        }
    }

    /**
     * Handles a read of the platform's list.
     *
     * @param instances names of the listed entries
     * @param now current time
     */
    public void onListed(Set<String> instances, long now) {
        absences.onListed(instances, now);
        contact.onPlatformContact(now);
    }

    /**
     * Handles a change of the set of connected peers. If a peer is new, the shares are read again
     * soon, since it may need units.
     *
     * @param peers names of the peers with an open connection
     */
    public void onConnected(Set<String> peers) {
        if (absences.onConnected(peers)) {
            scheduler.scheduleWithinRetryPause(lastCheckAt);
        }
    }

    /**
     * Handles a peer's report of when it last had contact with the platform.
     *
     * @param peer name of the peer
     * @param platformAgeNanos time since that contact
     * @param now current time
     */
    public void onPeerReport(String peer, long platformAgeNanos, long now) {
        contact.onPeerReport(peer, platformAgeNanos, now);
    }

    /**
     * Handles the loss of the connection to a peer.
     *
     * @param peer name of the peer
     */
    public void onPeerDown(String peer) {
        contact.onPeerDown(peer);
    }

    /**
     * Sets how many units this entry lacks or has to spare, as judged by what it borrowed and lent.
     *
     * @param units units lacking, negative for a surplus
     * @param now current time
     */
    public void updateDemand(long units, long now) {
        balancer.updateDemand(units);
        releaseUnits(balancer.surplusUnits(shares, usableUnits), now);
    }

    private void releaseUnits(long units, long now) {
        boolean hasPlatformContact = contact.platformAge(now) <= bounds.contactBound().toNanos();
        if (units > 0 && unitsToRelease == 0 && !isLeaving && hasPlatformContact) {
            startRelease(units, now);
        }
    }

    /**
     * Starts to release all units, since this entry is about to stop.
     *
     * @param now current time
     */
    public void leave(long now) {
        isLeaving = true;
        startRelease(usableUnits, now);
    }

    /**
     * Whether this entry is leaving and is no longer a member of the shares, as last read or
     * written.
     *
     * @return true once the platform has confirmed that all units were released
     */
    public boolean hasLeft() {
        return isLeaving && hasRead && usableUnits == 0 && !shares.members().containsKey(self);
    }

    /**
     * Returns the units that this entry may use now.
     *
     * @return units of {@link Shares#TOTAL_UNITS}
     */
    public long usableUnits() {
        return usableUnits;
    }

    /**
     * Whether {@link #pollFreshUnits} would return any units.
     *
     * @return true if there are some
     */
    public boolean hasFreshUnits() {
        return freshUnits > 0;
    }

    /**
     * Removes and returns the units that were acquired with full buckets: those that no entry had
     * before a confirmed write gave them to this one. After an unclear outcome there are none.
     *
     * @return such units since the last call
     */
    public long pollFreshUnits() {
        long polled = freshUnits;
        freshUnits = 0;
        return polled;
    }

    /**
     * Returns the units that this entry may use plus those that connected peers have, as last read.
     *
     * @param peers names of connected peers
     * @return units of {@link Shares#TOTAL_UNITS}
     */
    public long reachableUnits(Set<String> peers) {
        return usableUnits + shares.unitsOf(peers);
    }

    /**
     * Returns the units of a peer, as last read.
     *
     * @param peer name of the peer
     * @return units of {@link Shares#TOTAL_UNITS}
     */
    public long unitsOf(String peer) {
        return shares.unitsOf(Set.of(peer));
    }

    private void startRelease(long units, long now) {
        usableUnits -= units;
        unitsToRelease += units;
        isReleaseSent = false;
        releaseAt = now + bounds.loanTtl().plus(bounds.loanMargin()).toNanos();
        scheduler.scheduleNoLaterThan(releaseAt);
    }

    private void suspend(long now) {
        mayConfirm = false;
        freshUnits = 0;
        if (usableUnits > 0 || unitsToRelease > 0) {
            usableUnits = 0;
            unitsToRelease = 0;
            isCurrent = false;
            scheduler.scheduleNoLaterThan(now);
        }
    }

    private void updateShares(long newVersion, Shares newShares, long now) {
        if (!hasRead || newShares.pool() == 0 || shares.pool() == 0) {
            pooledSince = now;
        }
        version = newVersion;
        shares = newShares;
        hasRead = true;
        long ownUnits = shares.units(self);
        usableUnits = Math.min(usableUnits, ownUnits);
        unitsToRelease = Math.max(0, Math.min(unitsToRelease, ownUnits - usableUnits));
    }

    private void onAnswer(long now) {
        contact.onPlatformContact(scheduler.sentAt());
        scheduler.recordLatency(now);
    }

    private void abandonCall(long now) {
        isCurrent = false;
        scheduler.abandon(now);
    }

    /** Returns the shares as they should be, the same object if nothing needs to change. */
    private Shares planShares(long now) {
        Shares next = isLeaving ? shares : shares.addMember(self, version + 1);
        for (MemberId other : shares.members().keySet()) {
            if (!other.equals(self) && absences.isReclaimable(other, bounds, now)) {
                next = next.removeMember(other);
            }
        }
        if (unitsToRelease > 0 && now >= releaseAt) {
            next = next.transferFromPool(self, -unitsToRelease);
        }
        if (isLeaving
                && usableUnits == 0
                && next.units(self) == 0
                && next.members().containsKey(self)) {
            return next.removeMember(self);
        }
        boolean mayAcquire = absences.mayAcquireUnits() && !isLeaving && unitsToRelease == 0;
        boolean isPoolIdle = now - pooledSince > bounds.balanceInterval().toNanos();
        long wanted = mayAcquire ? balancer.unitsWanted(shares, next, isPoolIdle) : 0;
        return wanted > 0 ? next.transferFromPool(self, wanted) : next;
    }

    /**
     * Schedules the next read after a pause, which is shorter for an entry that has no units yet.
     */
    private void endRead(boolean isSettled, long now) {
        if (isSettled) {
            scheduler.end(
                    usableUnits + unitsToRelease == 0 ? bounds.retry() : bounds.readInterval(),
                    now);
        } else {
            scheduler.end(now);
        }
    }
}
