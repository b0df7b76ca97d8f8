package org.sardinelift.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/**
 * Decides, while the targets of a service are short, which calls are within their team's weighted
 * max-min share of the slots. Every gateway admits the same fraction of a team's calls, computed
 * from the demands that all gateways report, so the share doesn't depend on how a team's calls are
 * distributed over gateways. Times are nanoseconds of a monotonic clock. Not thread-safe.
 */
public final class FairAdmission {
    /** Reports of a gateway that is lost are used for this long. */
    public static final Duration REPORT_EXPIRY = Duration.ofMillis(1_200);

    private static final Duration UPDATE_INTERVAL = Duration.ofMillis(100);

    /** Time within which all gateways report a new shortage: two of their reports. */
    private static final Duration REPORT_GRACE = Duration.ofMillis(700);

    /**
     * Calls on the targets per slot at which all slots are divided. With longer queues less is
     * divided, since calls within shares would find no room; with free slots more is.
     */
    private static final double DESIRED_CALLS_PER_SLOT = 1.05;

    /** Queues that are too long by a fraction of the slots shrink by half of it in a call time. */
    private static final double CORRECTION = 0.5;

    private static final double MIN_DIVIDED_FRACTION = 0.9;

    /** A team is named in reports from this fraction of its share. */
    private static final double NEAR_SHARE = 0.5;

    /** Part of a team's share that is promised to callers that were refused. */
    private static final double PROMISED_FRACTION = 0.25;

    /** A caller that returns sooner meets the same full slots. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(60);

    /** Callers that are not to return within their deadline are told this much more. */
    private static final double BEYOND_DEADLINE = 1.2;

    private static final double MIN_SAMPLE_WEIGHT = 0.01;

    /** Demand below which a team isn't counted, slots; the rest of a call some 9 s ago. */
    private static final double MIN_SLOTS = 1e-4;

    /** Time without a call after which the slot time of a team's calls has to be learned again. */
    private static final Duration IDLE_TIME = Duration.ofSeconds(60);

    private final ToDoubleFunction<String> weights;
    private final ShortageDetector detector = new ShortageDetector();
    private final FleetDemand fleet = new FleetDemand(REPORT_EXPIRY);
    private final Map<String, ShareAccount> accounts = new HashMap<>();
    private double slotSeconds;
    private double capacity;
    private double calls;
    private int gateways = 1;
    private long updatedAt;
    private boolean isAnnounced;

    private FairAdmission(Duration slotTime, ToDoubleFunction<String> weights) {
        this.slotSeconds = slotTime.toNanos() / 1e9;
        this.weights = weights;
    }

    /**
     * Creates the admission to a service that isn't short.
     *
     * @param slotTime usual time that a call occupies a slot, until calls have shown it
     * @param weights weights of the teams, positive
     * @return the admission
     */
    public static FairAdmission create(Duration slotTime, ToDoubleFunction<String> weights) {
        return new FairAdmission(slotTime, weights);
    }

    /**
     * A call to decide on.
     *
     * @param team its team
     * @param isReturning whether its caller was refused before
     * @param longestRetryAfter longest Retry-After that its caller honours
     * @param draw number distributed evenly over the calls
     */
    public record Call(String team, boolean isReturning, Duration longestRetryAfter, long draw) {}

    /**
     * Takes over the state of the service's targets; called several times per 100 ms.
     *
     * @param calls calls on the targets, those in their queues included
     * @param slots slots of all targets, as far as rate limits let calls use them
     * @param liveGateways number of gateways, this one included
     * @param now the time
     * @return whether a shortage has begun or ended
     */
    public boolean onSample(double calls, double slots, int liveGateways, long now) {
        detector.onSample(calls, slots, now);
        capacity = slots;
        this.calls = calls;
        gateways = Math.max(1, liveGateways);
        boolean hasChanged = isAnnounced != detector.isShort();
        isAnnounced = detector.isShort();
        if (hasChanged && !isAnnounced) {
            fleet.clear();
        }
        if (hasChanged || now - updatedAt >= UPDATE_INTERVAL.toNanos()) {
            update(now);
        }
        return hasChanged;
    }

    /**
     * Returns whether the slots are short.
     *
     * @return true from the beginning of a shortage to its end
     */
    public boolean isShort() {
        return detector.isShort();
    }

    private void update(long now) {
        updatedAt = now;
        accounts.values().removeIf(account -> account.idleNanos(now) >= IDLE_TIME.toNanos());
        if (!detector.isShort()) {
            return;
        }
        fleet.sumUp(now);
        fleet.updateLevel(ownDemand(now), weights, dividedSlots() * reportedFraction(now));
    }

    private double dividedSlots() {
        double callsPerSlot = calls / Math.max(1, capacity);
        double fraction = 1 + CORRECTION * (DESIRED_CALLS_PER_SLOT - callsPerSlot);
        return capacity * Math.max(MIN_DIVIDED_FRACTION, fraction);
    }

    /** Until all gateways can have reported, those that have are taken for a part of the fleet. */
    private double reportedFraction(long now) {
        boolean isNew = now - detector.shortSince() < REPORT_GRACE.toNanos();
        return isNew ? Math.min(1, (1.0 + fleet.reporters()) / gateways) : 1;
    }

    /**
     * Decides on a call.
     *
     * @param call the call
     * @param now the time
     * @return whether it is within its team's share
     */
    public ShareDecision decide(Call call, long now) {
        ShareAccount account = account(call.team(), now);
        double own = call.isReturning() ? account.slots(now) : account.onFirstTry(now);
        if (!detector.isShort()) {
            return ShareDecision.Admitted.NO_SHORTAGE;
        }
        double demand = own + fleet.slotsElsewhere(call.team());
        double share = account.weight() * fleet.level();
        double fraction = share / Math.max(Double.MIN_NORMAL, demand);
        boolean isWithin =
                call.isReturning()
                        ? account.tryUseInAdvance(fraction, now)
                        : account.tryUse(fraction, fractionOf(call.draw(), 0), now);
        if (isWithin) {
            return ShareDecision.Admitted.WITHIN_SHARE;
        }
        return new ShareDecision.AboveShare(
                share, demand, 1 + fleet.reporters(), fleet.age(now), retryAfter(call, fraction));
    }

    private ShareAccount account(String team, long now) {
        return accounts.computeIfAbsent(
                team, name -> new ShareAccount(weights.applyAsDouble(name), slotSeconds, now));
    }

    /**
     * A part of the share is promised to refused callers, evenly over the time that they honour.
     * The others are told a time at which they no longer honour it, as until then all is promised.
     */
    private static Duration retryAfter(Call call, double fraction) {
        long longest = call.longestRetryAfter().toNanos();
        double promised = PROMISED_FRACTION * fraction / Math.max(1e-9, 1 - fraction);
        if (!call.isReturning() && fractionOf(call.draw(), 1) < promised) {
            return spread(call.longestRetryAfter(), call.draw());
        }
        return Duration.ofNanos((long) (longest * (BEYOND_DEADLINE + fractionOf(call.draw(), 2))));
    }

    /** One of several independent numbers from 0 to 1 that follow from a call's draw. */
    private static double fractionOf(long draw, int index) {
        long mixed = (draw + index) * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
        mixed ^= mixed >>> 32;
        return (mixed >>> 11) * 0x1p-53;
    }

    /**
     * A call above its team's share used a slot that was free.
     *
     * @param team its team
     * @param now the time
     */
    public void onFreeSlotUsed(String team, long now) {
        ShareAccount account = account(team, now);
        account.onFreeSlotUsed(fraction(team, account, now), now);
    }

    /**
     * A call within its team's share found no room.
     *
     * @param team its team
     * @param now the time
     */
    public void onNoRoom(String team, long now) {
        if (detector.isShort()) {
            ShareAccount account = account(team, now);
            account.refund(fraction(team, account, now), now);
        }
        detector.onNoRoom(now);
    }

    /**
     * Returns when a caller within its team's share that found no room is to return. Its team gets
     * room at any time of a shortage, so the times are spread evenly over the one that it honours;
     * callers that are all told the longest time return in waves that fill the queues.
     *
     * @param longest longest time that the caller honours
     * @param draw number distributed evenly over the calls
     * @return the time from now, or empty without a shortage
     */
    public Optional<Duration> retryAfterNoRoom(Duration longest, long draw) {
        return detector.isShort() ? Optional.of(spread(longest, draw)) : Optional.empty();
    }

    private static Duration spread(Duration longest, long draw) {
        long earliest = Math.min(longest.toNanos(), MIN_RETRY_AFTER.toNanos());
        return Duration.ofNanos(
                earliest + (long) (fractionOf(draw, 2) * (longest.toNanos() - earliest)));
    }

    private double fraction(String team, ShareAccount account, long now) {
        double demand = account.slots(now) + fleet.slotsElsewhere(team);
        return account.weight() * fleet.level() / Math.max(Double.MIN_NORMAL, demand);
    }

    /**
     * A call was completed.
     *
     * @param team its team
     * @param slotTime time that it occupied its slot
     * @param now the time
     */
    public void onCompleted(String team, Duration slotTime, long now) {
        double seconds = Math.max(1e-3, slotTime.toNanos() / 1e9);
        slotSeconds += MIN_SAMPLE_WEIGHT * (seconds - slotSeconds);
        account(team, now).onCompleted(seconds);
    }

    /**
     * Returns what the other gateways need to know.
     *
     * @param now the time
     * @return the demand here, or empty without a shortage
     */
    public Optional<ReportedDemand> report(long now) {
        return detector.isShort() ? Optional.of(ownDemand(now)) : Optional.empty();
    }

    private ReportedDemand ownDemand(long now) {
        double near = NEAR_SHARE * levelForReports();
        List<Map.Entry<String, Double>> nearShare = new ArrayList<>();
        double all = 0;
        int teams = 0;
        // A loop, as this passes over all teams several times per second.
        for (Map.Entry<String, ShareAccount> entry : accounts.entrySet()) {
            double slots = entry.getValue().slots(now);
            if (slots >= MIN_SLOTS) {
                teams++;
                all += slots;
                if (isNear(entry.getKey(), slots, near * entry.getValue().weight())) {
                    nearShare.add(Map.entry(entry.getKey(), slots));
                }
            }
        }
        Map<String, Double> named =
                nearShare.stream()
                        .sorted(Map.Entry.comparingByValue(Comparator.reverseOrder()))
                        .limit(ReportedDemand.MAX_TEAMS)
                        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        double namedSlots = named.values().stream().mapToDouble(Double::doubleValue).sum();
        return new ReportedDemand(named, teams - named.size(), Math.max(0, all - namedSlots));
    }

    /** The level of shares; while all demands fit, an even division over the teams known here. */
    private double levelForReports() {
        double level = fleet.level();
        return Double.isInfinite(level) ? capacity / Math.max(1, accounts.size()) : level;
    }

    /** Whether a team's demand over the fleet, known or extrapolated, reaches a bound. */
    private boolean isNear(String team, double own, double bound) {
        return own * gateways >= bound || own + fleet.slotsElsewhere(team) >= bound;
    }

    /**
     * Another gateway reported its demand.
     *
     * @param gateway its name
     * @param demand the demand
     * @param now the time
     */
    public void onReport(String gateway, ReportedDemand demand, long now) {
        if (detector.isShort()) {
            fleet.onReport(gateway, demand, now);
        }
    }

    /**
     * A gateway has stopped for good.
     *
     * @param gateway its name
     */
    public void onPeerRemoved(String gateway) {
        fleet.onPeerRemoved(gateway);
    }
}
