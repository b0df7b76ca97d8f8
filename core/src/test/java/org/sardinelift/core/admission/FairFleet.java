package org.sardinelift.core.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.sardinelift.core.load.Placement;
import org.sardinelift.core.load.RetryAfterSchedule;
import org.sardinelift.core.load.TargetCalls;
import org.sardinelift.core.load.TargetLoad;

/**
 * Gateways that send calls to common targets, and callers that return once if Retry-After is at
 * most a third of their deadline. Virtual time; decisions by the classes that gateways use.
 */
final class FairFleet {
    static final long MS = 1_000_000;
    private static final Duration OBJECTIVE = Duration.ofMillis(300);
    private static final Duration RESERVE = Duration.ofMillis(60);
    static final Duration LONGEST = Duration.ofMillis(1_666);
    private static final double MEAN_SECONDS = 0.75;
    private static final long FIRST_EVENT_NANOS = 55 * MS;
    private static final int SLOTS = 8;

    /** What a run is made of. */
    record Setup(
            int gateways,
            int targets,
            double[] slotsByTeam,
            double[] meanSeconds,
            double skew,
            double loss,
            boolean isFair,
            long seed) {}

    /** Counts of a team within the measured time. */
    static final class Tally {
        double offered;
        double served;
        int first;
        int admitted;
        int returned;
        int refusedTwice;
    }

    private final Setup setup;
    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Target> targets = new ArrayList<>();
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<Gateway> up = new ArrayList<>();
    private final Placement placement = Placement.of("z", Duration.ofMillis(30));
    final Map<String, Tally> tallies = new TreeMap<>();
    final List<Duration> retryAfters = new ArrayList<>();
    private final List<double[]> sizes = new ArrayList<>();
    private double[] slotsByTeam;
    private long now;
    private long sequence;
    private long measuredFrom = Long.MAX_VALUE;
    private double usedSlotNanos;
    private int running;
    private int queued;
    private long usedAt;
    int reports;
    int freeRefusals;

    private record Event(long at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private record Job(Gateway gateway, int team, double seconds) {}

    private record Call(int team, double seconds, boolean isReturning, long draw, double[] size) {}

    FairFleet(Setup setup) {
        this.setup = setup;
        this.random = new Random(setup.seed());
        this.slotsByTeam = setup.slotsByTeam().clone();
        IntStream.range(0, setup.targets()).forEach(i -> targets.add(new Target("t" + i)));
        IntStream.range(0, setup.gateways()).forEach(i -> gateways.add(new Gateway("g" + i)));
        up.addAll(gateways);
        IntStream.range(0, slotsByTeam.length).forEach(this::scheduleArrival);
    }

    int slots() {
        return targets.size() * SLOTS;
    }

    void setDemand(int team, double slots) {
        slotsByTeam[team] = slots;
    }

    void restart(int gateway, Duration after) {
        Gateway lost = gateways.get(gateway);
        lost.isUp = false;
        up.remove(lost);
        schedule(
                after.toNanos(),
                () -> {
                    gateways.set(gateway, new Gateway("g" + gateway));
                    up.add(gateways.get(gateway));
                });
    }

    boolean isAnyShort() {
        return gateways.stream().anyMatch(each -> each.admission.isShort());
    }

    void measure() {
        measuredFrom = now;
        usedSlotNanos = 0;
        usedAt = now;
        tallies.clear();
        sizes.clear();
        retryAfters.clear();
        freeRefusals = 0;
    }

    void run(double seconds) {
        long end = now + (long) (seconds * 1e9);
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event next = events.poll();
            now = next.at();
            next.action().run();
        }
        now = end;
        account();
    }

    private void account() {
        usedSlotNanos += (double) (now - usedAt) * running;
        usedAt = now;
    }

    double utilization() {
        return usedSlotNanos / ((double) (now - measuredFrom) * slots());
    }

    /** Served part of the max-min due, of the team that is worst off. */
    double worst() {
        double seconds = (now - measuredFrom) / 1e9;
        List<MaxMinShare.Demand> demands =
                tallies.values().stream()
                        .map(tally -> new MaxMinShare.Demand(tally.offered / seconds, 1))
                        .toList();
        double level = MaxMinShare.level(demands, slots());
        return tallies.values().stream()
                .mapToDouble(
                        tally -> tally.served / seconds / Math.min(level, tally.offered / seconds))
                .min()
                .orElseThrow();
    }

    /** Fraction of the refused callers that returned which were refused again. */
    double refusedTwice() {
        int returned = tallies.values().stream().mapToInt(tally -> tally.returned).sum();
        int again = tallies.values().stream().mapToInt(tally -> tally.refusedTwice).sum();
        return (double) again / Math.max(1, returned);
    }

    /** Admission rate of the largest tenth of the calls, relative to that of all calls. */
    double largestTenth() {
        List<double[]> descending =
                sizes.stream().sorted((a, b) -> Double.compare(b[0], a[0])).toList();
        double largest =
                descending.stream()
                        .limit(descending.size() / 10)
                        .mapToDouble(size -> size[1])
                        .average()
                        .orElseThrow();
        return largest / descending.stream().mapToDouble(size -> size[1]).average().orElseThrow();
    }

    private void schedule(long delay, Runnable action) {
        events.add(new Event(now + delay, sequence++, action));
    }

    private void scheduleArrival(int team) {
        double mean = setup.meanSeconds()[team % setup.meanSeconds().length];
        double rate = Math.max(1e-9, slotsByTeam[team] / mean);
        long gap = (long) (-Math.log(1 - random.nextDouble()) / rate * 1e9);
        // Looks again within 100 ms, as the demand may have changed.
        schedule(
                Math.min(gap, 100 * MS),
                () -> {
                    if (gap <= 100 * MS) {
                        arrive(team, mean);
                    }
                    scheduleArrival(team);
                });
    }

    private void arrive(int team, double mean) {
        // Half of the time is fixed, the rest exponential, as for output of varied length.
        double seconds = mean / 2 * (1 - Math.log(1 - random.nextDouble()));
        double[] size = {seconds, 0};
        Tally tally = tally(team);
        tally.offered += seconds;
        tally.first++;
        sizes.add(size);
        anyGateway(team).onCall(new Call(team, seconds, false, random.nextLong(), size));
    }

    private Tally tally(int team) {
        return tallies.computeIfAbsent("team" + team, name -> new Tally());
    }

    /** With skew, most calls of a team arrive at few gateways, others for each team. */
    private Gateway anyGateway(int team) {
        int index = (int) (Math.pow(random.nextDouble(), setup.skew()) * up.size());
        return up.get((index + team) % up.size());
    }

    private static final class Target {
        final String name;
        final ArrayDeque<Job> queue = new ArrayDeque<>();
        int running;

        Target(String name) {
            this.name = name;
        }

        TargetLoad load() {
            return new TargetLoad(
                    name,
                    "z",
                    SLOTS,
                    new TargetCalls(running + queue.size(), 0),
                    (long) (MEAN_SECONDS * 1e9),
                    FIRST_EVENT_NANOS,
                    false,
                    0);
        }
    }

    private void startNext(Target target) {
        account();
        while (target.running < SLOTS && !target.queue.isEmpty()) {
            Job job = target.queue.poll();
            target.running++;
            running++;
            queued--;
            schedule((long) (job.seconds() * 1e9), () -> end(target, job));
        }
    }

    private void end(Target target, Job job) {
        account();
        target.running--;
        running--;
        Duration time = Duration.ofNanos((long) (job.seconds() * 1e9));
        job.gateway().admission.onCompleted("team" + job.team(), time, now);
        startNext(target);
    }

    private final class Gateway {
        final String name;
        final FairAdmission admission = FairAdmission.create(Duration.ofMillis(750), team -> 1);
        final RetryAfterSchedule retryTimes = RetryAfterSchedule.create();
        boolean isUp = true;

        Gateway(String name) {
            this.name = name;
            schedule(random.nextLong(50 * MS), this::tick);
            schedule(random.nextLong(250 * MS), this::report);
        }

        void tick() {
            if (isUp) {
                admission.onSample(running + queued, slots(), up.size(), now);
                schedule(50 * MS, this::tick);
            }
        }

        void report() {
            if (!isUp) {
                return;
            }
            admission
                    .report(now)
                    .ifPresent(
                            demand -> {
                                reports++;
                                gateways.stream()
                                        .filter(to -> to != this)
                                        .filter(to -> random.nextDouble() >= setup.loss())
                                        .forEach(to -> tell(to, demand));
                            });
            schedule(250 * MS, this::report);
        }

        void tell(Gateway to, ReportedDemand demand) {
            schedule((2 + random.nextInt(25)) * MS, () -> to.admission.onReport(name, demand, now));
        }

        void onCall(Call call) {
            String team = "team" + call.team();
            if (!call.isReturning()) {
                retryTimes.onNewCall(now);
            }
            List<TargetLoad> loads = targets.stream().map(Target::load).toList();
            boolean isFree = loads.stream().anyMatch(TargetLoad::isFreeForOnline);
            ShareDecision decision =
                    admission.decide(
                            new FairAdmission.Call(team, call.isReturning(), LONGEST, call.draw()),
                            now);
            if (setup.isFair() && decision instanceof ShareDecision.AboveShare above) {
                if (!isFree) {
                    refuse(call, above.retryAfter());
                    return;
                }
                admission.onFreeSlotUsed(team, now);
            }
            Duration limit = call.isReturning() ? OBJECTIVE : OBJECTIVE.minus(RESERVE);
            if (placement.choose(loads, limit, call.draw())
                    instanceof Placement.Choice.Placed placed) {
                send(call, placed.target().id());
                return;
            }
            freeRefusals += isFree ? 1 : 0;
            admission.onNoRoom(team, now);
            double freed = slots() / MEAN_SECONDS / gateways.size();
            Duration usual =
                    retryTimes.nextRetryAfter(
                            Duration.ofMillis(20), freed, LONGEST, call.draw(), now);
            refuse(
                    call,
                    setup.isFair()
                            ? admission.retryAfterNoRoom(LONGEST, call.draw()).orElse(usual)
                            : usual);
        }

        void send(Call call, String id) {
            Tally tally = tally(call.team());
            tally.served += call.seconds();
            tally.admitted++;
            call.size()[1] = 1;
            Target target = targets.get(Integer.parseInt(id.substring(1)));
            queued++;
            target.queue.add(new Job(this, call.team(), call.seconds()));
            startNext(target);
        }

        void refuse(Call call, Duration retryAfter) {
            if (call.isReturning()) {
                tally(call.team()).refusedTwice++;
                return;
            }
            retryAfters.add(retryAfter);
            if (retryAfter.compareTo(LONGEST) > 0) {
                return;
            }
            long refusedAt = now;
            schedule(
                    retryAfter.toNanos(),
                    () -> {
                        tally(call.team()).returned++;
                        if (refusedAt < measuredFrom) {
                            // Demand of the measured time, though first tried before it.
                            tally(call.team()).offered += call.seconds();
                        }
                        anyGateway(call.team())
                                .onCall(
                                        new Call(
                                                call.team(),
                                                call.seconds(),
                                                true,
                                                random.nextLong(),
                                                call.size()));
                    });
        }
    }

    static double[] teams(int count, double slots) {
        double[] demand = new double[count];
        Arrays.fill(demand, slots);
        return demand;
    }

    String table() {
        double seconds = (now - measuredFrom) / 1e9;
        StringBuilder text = new StringBuilder();
        tallies.forEach(
                (team, t) ->
                        text.append(
                                String.format(
                                        "%s offered %.1f served %.1f first %d adm %d ret %d %d%n",
                                        team,
                                        t.offered / seconds,
                                        t.served / seconds,
                                        t.first,
                                        t.admitted,
                                        t.returned,
                                        t.refusedTwice)));
        return text.toString();
    }

    static Map<String, Double> describe(FairFleet fleet) {
        Map<String, Double> figures = new HashMap<>();
        figures.put("worst", fleet.worst());
        figures.put("twice", fleet.refusedTwice());
        figures.put("tenth", fleet.largestTenth());
        figures.put("utilization", fleet.utilization());
        return figures;
    }
}
