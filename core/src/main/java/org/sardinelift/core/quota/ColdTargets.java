package org.sardinelift.core.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.plan.RegisteredTarget;
import org.sardinelift.core.plan.ServicePlan;

/**
 * Decides which targets are cold and sets their limits in {@link TargetRateLimits}.
 *
 * <p>Only targets of services whose configuration states a rate for cold ones are considered, by
 * incarnation. At the end of the cold time the limit doubles in steps before it is removed. Times
 * are nanoseconds of a monotonic clock. Not thread-safe.
 */
public final class ColdTargets {
    /** Age of the oldest list that an instance may hold: it shows a target as it was before. */
    private static final long MAX_LIST_AGE_NANOS = Duration.ofSeconds(2).toNanos();

    /** Time for which a target is taken as cold if neither configuration nor entry state it. */
    private static final Duration DEFAULT_COLD_TIME = Duration.ofSeconds(10);

    /** Longest cold time that is accepted; a larger value is a fault of its sender. */
    private static final Duration MAX_COLD_TIME = Duration.ofMinutes(5);

    private static final long STEP_NANOS = Duration.ofMillis(500).toNanos();

    /** Doublings of the limit before it is removed: to 32 times. */
    private static final int STEPS = 5;

    /** Limit of an incarnation that a peer knows to have been replaced, requests per second. */
    private static final double REPLACED_PER_SECOND = 0.2;

    private static final int MAX_REPLACED = 10_000;

    /** Lists of any age may end what was learned from a list. */
    private static final long STALE_NANOS = MAX_COLD_TIME.toNanos();

    private final TargetRateLimits limits;
    private final Map<String, Life> lives = new HashMap<>();
    private final Map<String, Life> livesById = new HashMap<>();
    private final Set<Life> limited = new HashSet<>();
    private final Map<String, Boolean> replaced =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                    return size() > MAX_REPLACED;
                }
            };
    private Function<String, Optional<ServicePlan>> plans = service -> Optional.empty();
    private Collection<RegisteredTarget> latestEntries = List.of();
    private long latestListedAt;

    private ColdTargets(TargetRateLimits limits) {
        this.limits = limits;
    }

    /**
     * Creates the state of an instance that knows no targets.
     *
     * @param limits where the limits of cold targets are set
     * @return the state
     */
    public static ColdTargets of(TargetRateLimits limits) {
        return new ColdTargets(limits);
    }

    /** Why a target is taken as cold. */
    public enum Reason {
        /** Its incarnation was not in an earlier list. */
        NEW,
        /** Its entry states a remaining cold time. */
        ENTRY,
        /** It doesn't answer, and may have restarted when it does. */
        SILENT,
        /** It answers after it did not, and may have restarted. */
        ANSWERED,
        /** Its zone got no requests. */
        EVACUATION_ENDED,
        /** Another instance reported it. */
        PEER,
        /** Another instance knows a later incarnation of it. */
        REPLACED;

        /**
         * Name for logs and metrics.
         *
         * @return the name in lower case
         */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * A target became cold, or its cold time ended.
     *
     * @param target the incarnation
     * @param isCold whether it is cold now
     * @param reason why it is or was cold
     * @param age age of the information: of the list or the report
     * @param coldFor time since it became cold
     */
    public record Change(
            String target, boolean isCold, Reason reason, Duration age, Duration coldFor) {}

    private static final class Life {
        private final String target;
        private RegisteredTarget entry;
        private ServicePlan plan;
        private Reason reason = Reason.NEW;
        private boolean isCold;
        private long since;
        private long until;
        private boolean hasEnd;
        private long endableFrom;
        private int step;
        private long steppedAt;

        Life(RegisteredTarget entry, ServicePlan plan) {
            this.target = entry.incarnation();
            this.entry = entry;
            this.plan = plan;
        }

        Duration coldTime() {
            return plan.coldTime().isZero() ? DEFAULT_COLD_TIME : plan.coldTime();
        }

        double perSecond() {
            double cold = plan.coldRequestsPerSecond().orElseThrow();
            return reason == Reason.REPLACED && isCold
                    ? Math.min(REPLACED_PER_SECOND, cold)
                    : cold * (1 << step);
        }
    }

    /**
     * Applies a configuration.
     *
     * @param newPlans finds the plan of a service
     * @param now the time
     * @return targets that have become cold or are no longer so
     */
    public List<Change> onPlan(Function<String, Optional<ServicePlan>> newPlans, long now) {
        plans = newPlans;
        List.copyOf(lives.values()).stream()
                .filter(life -> coldPlan(life.entry.service()).isEmpty())
                .forEach(life -> forget(life, now));
        limited.forEach(
                life -> {
                    life.plan = coldPlan(life.entry.service()).orElseThrow();
                    apply(life, now);
                });
        return onListed(latestEntries, latestListedAt, now);
    }

    private Optional<ServicePlan> coldPlan(String service) {
        return plans.apply(service).filter(plan -> plan.coldRequestsPerSecond().isPresent());
    }

    private void forget(Life life, long now) {
        lives.remove(life.target);
        livesById.remove(life.entry.id(), life);
        limited.remove(life);
        limits.removeColdLimit(life.target, now);
    }

    /**
     * The targets were listed, whether or not they have changed.
     *
     * @param entries all targets
     * @param listedAt when the list was requested from the store, by this instance or another
     * @param now the time
     * @return targets that have become cold or are no longer so
     */
    public List<Change> onListed(Collection<RegisteredTarget> entries, long listedAt, long now) {
        latestEntries = entries;
        latestListedAt = listedAt;
        Set<String> listed =
                lives.isEmpty()
                        ? Set.of()
                        : entries.stream()
                                .map(RegisteredTarget::incarnation)
                                .collect(Collectors.toSet());
        List.copyOf(lives.values()).stream()
                .filter(life -> !listed.contains(life.target))
                .forEach(
                        life -> {
                            replaced.put(life.target, true);
                            forget(life, now);
                        });
        Map<String, Optional<ServicePlan>> byService = new HashMap<>();
        List<Change> changes = new ArrayList<>();
        entries.forEach(
                entry ->
                        byService
                                .computeIfAbsent(entry.service(), this::coldPlan)
                                .ifPresent(
                                        plan -> onEntry(entry, plan, listedAt, now, changes::add)));
        return changes;
    }

    private void onEntry(
            RegisteredTarget entry,
            ServicePlan plan,
            long listedAt,
            long now,
            Consumer<Change> changes) {
        Life life = lives.get(entry.incarnation());
        boolean isNew = life == null;
        if (life == null) {
            life = new Life(entry, plan);
            lives.put(life.target, life);
            livesById.put(entry.id(), life);
        }
        life.entry = entry;
        life.plan = plan;
        long left = entry.remainingColdMs().orElse(-1);
        Duration age = Duration.ofNanos(now - listedAt);
        if (left > 0) {
            onStated(life, listedAt, nanosOf(left), now).ifPresent(changes);
        } else if (left == 0 && life.isCold && isEndable(life, listedAt)) {
            changes.accept(end(life, age, now));
        } else if (left < 0 && isNew) {
            become(life, Reason.NEW, life.coldTime().toNanos(), 0, now)
                    .map(change -> withAge(change, age))
                    .ifPresent(changes);
        }
    }

    private static long nanosOf(long millis) {
        return Duration.ofMillis(Math.min(millis, MAX_COLD_TIME.toMillis())).toNanos();
    }

    private static boolean isEndable(Life life, long listedAt) {
        return life.reason != Reason.SILENT && listedAt - life.endableFrom >= 0;
    }

    private Optional<Change> onStated(Life life, long listedAt, long leftNanos, long now) {
        long left = listedAt + leftNanos - now;
        if (life.isCold && !isEndable(life, listedAt)) {
            if (life.hasEnd) {
                life.until = now + Math.max(life.until - now, left);
            }
            return Optional.empty();
        }
        if (left <= 0) {
            return life.isCold
                    ? Optional.of(end(life, Duration.ofNanos(now - listedAt), now))
                    : Optional.empty();
        }
        boolean wasCold = life.isCold;
        Optional<Change> change = become(life, Reason.ENTRY, left, 0, now);
        if (!wasCold) {
            limits.onColdEvidence(life.target, now + left, now);
        }
        return change.map(each -> withAge(each, Duration.ofNanos(now - listedAt)));
    }

    private static Change withAge(Change change, Duration age) {
        return new Change(change.target(), change.isCold(), change.reason(), age, change.coldFor());
    }

    /** Makes a target cold; {@code leftNanos} is negative if only an event ends it. */
    private Optional<Change> become(
            Life life, Reason reason, long leftNanos, long confirmAfterNanos, long now) {
        boolean wasCold = life.isCold;
        life.reason = reason;
        life.hasEnd = leftNanos >= 0;
        life.until = now + Math.max(0, leftNanos);
        life.endableFrom = now + confirmAfterNanos - (confirmAfterNanos == 0 ? STALE_NANOS : 0);
        if (wasCold) {
            apply(life, now);
            return Optional.empty();
        }
        life.isCold = true;
        life.since = now;
        life.step = 0;
        limited.add(life);
        apply(life, now);
        return Optional.of(new Change(life.target, true, reason, Duration.ZERO, Duration.ZERO));
    }

    private void apply(Life life, long now) {
        limits.setColdLimit(life.target, life.perSecond(), now);
    }

    private Change end(Life life, Duration age, long now) {
        life.isCold = false;
        life.step = 1;
        life.steppedAt = now;
        apply(life, now);
        return new Change(life.target, false, life.reason, age, Duration.ofNanos(now - life.since));
    }

    /**
     * Ends cold times that are over and raises the limits of targets that were cold.
     *
     * @param now the time
     * @return targets that are no longer cold
     */
    public List<Change> tick(long now) {
        if (limited.isEmpty()) {
            return List.of();
        }
        List<Change> changes = new ArrayList<>();
        List.copyOf(limited)
                .forEach(
                        life -> {
                            if (life.isCold && life.hasEnd && now - life.until >= 0) {
                                changes.add(end(life, Duration.ZERO, now));
                            } else if (!life.isCold && now - life.steppedAt >= STEP_NANOS) {
                                raise(life, now);
                            }
                        });
        return changes;
    }

    private void raise(Life life, long now) {
        life.step++;
        life.steppedAt = now;
        if (life.step > STEPS) {
            life.step = 0;
            limited.remove(life);
            limits.removeColdLimit(life.target, now);
        } else {
            apply(life, now);
        }
    }

    /**
     * A target did not answer a request of this instance.
     *
     * @param target the incarnation
     * @param now the time
     * @return the change, empty if it was cold or its service has no cold targets
     */
    public Optional<Change> onSilent(String target, long now) {
        return suspect(lives.get(target), Reason.SILENT, now);
    }

    /**
     * A target answered after it had not responded to a request.
     *
     * @param target the incarnation
     * @param now the time
     * @return the change, empty if it was cold or its service has no cold targets
     */
    public Optional<Change> onAnswer(String target, long now) {
        return suspect(lives.get(target), Reason.ANSWERED, now);
    }

    private Optional<Change> suspect(@Nullable Life life, Reason reason, long now) {
        if (life == null) {
            return Optional.empty();
        }
        long left = life.coldTime().toNanos() + MAX_LIST_AGE_NANOS;
        Optional<Change> change =
                become(life, reason, reason == Reason.SILENT ? -1 : left, MAX_LIST_AGE_NANOS, now);
        limits.onColdEvidence(life.target, now + left, now);
        return change;
    }

    /**
     * The evacuation of a zone has ended.
     *
     * @param zone name of the zone
     * @param now the time
     * @return targets that have become cold
     */
    public List<Change> onEvacuationEnded(String zone, long now) {
        return suspectAll(life -> life.entry.zone().equals(zone), now);
    }

    private List<Change> suspectAll(Predicate<Life> filter, long now) {
        return lives.values().stream()
                .filter(filter)
                .filter(life -> !life.isCold || life.reason != Reason.SILENT)
                .flatMap(
                        life ->
                                become(
                                        life,
                                        Reason.EVACUATION_ENDED,
                                        life.coldTime().toNanos() + MAX_LIST_AGE_NANOS,
                                        MAX_LIST_AGE_NANOS,
                                        now)
                                        .stream())
                .toList();
    }

    /**
     * A peer reported a target as cold, or requests to it under a limit.
     *
     * @param target the incarnation
     * @param remainingColdMs time for which it stays cold; 0 or less if the report doesn't state it
     * @param now the time
     * @return the change, empty if there is none
     */
    public Optional<Change> onPeerReport(String target, long remainingColdMs, long now) {
        Life life = lives.get(target);
        if (life == null) {
            return onOtherIncarnation(target, now);
        }
        long left = nanosOf(remainingColdMs);
        boolean isNews =
                remainingColdMs > 0 && (!life.isCold || life.hasEnd && now + left - life.until > 0);
        return isNews ? become(life, Reason.PEER, left, MAX_LIST_AGE_NANOS, now) : Optional.empty();
    }

    /**
     * Limits the listed incarnation of a target if a peer's list has another one, which this
     * instance's list lacks: requests to both reach the same process.
     */
    private Optional<Change> onOtherIncarnation(String target, long now) {
        int slash = target.lastIndexOf('/');
        Life life = slash < 0 ? null : livesById.get(target.substring(0, slash));
        if (life == null || replaced.containsKey(target)) {
            return Optional.empty();
        }
        return become(life, Reason.REPLACED, MAX_LIST_AGE_NANOS, MAX_LIST_AGE_NANOS, now);
    }

    /**
     * Whether a target is taken as cold, or was so until lately.
     *
     * @param target the incarnation
     * @return why, empty if its limit has been removed
     */
    public Optional<Reason> reason(String target) {
        Life life = lives.get(target);
        return Optional.ofNullable(life).filter(limited::contains).map(each -> each.reason);
    }

    /**
     * Number of targets that are cold.
     *
     * @return the number, without those whose limit is being raised
     */
    public long coldCount() {
        return limited.stream().filter(life -> life.isCold).count();
    }

    /**
     * Rates of all limited targets, for tests and the status.
     *
     * @param target the incarnation
     * @return requests per second, empty if it is not limited for being cold
     */
    public OptionalDouble perSecond(String target) {
        Life life = lives.get(target);
        return life != null && limited.contains(life)
                ? OptionalDouble.of(life.perSecond())
                : OptionalDouble.empty();
    }
}
