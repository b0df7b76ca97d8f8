package org.sardinelift.core.load;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.load.Placement.Choice;

/**
 * Guards against calls that wait at slow targets while fast ones of the same service are free, and
 * against targets that state wrong figures. Targets take 0.6, 1 or 1.6 times the usual time, and
 * 2.5 times that for moments. Gateways know the loads, but of the work time only what the responses
 * to their own calls stated.
 */
class UnevenTargetsTest {
    private static final double[] SPEEDS = {0.6, 1, 1.6};
    private static final double SLOW_MOMENT = 2.5;
    private static final long MOMENT_NANOS = Duration.ofMillis(400).toNanos();
    private static final double CALL_SECONDS = 0.2;
    private static final int SLOTS = 8;
    private static final int TARGETS = 34;
    private static final int GATEWAYS = 23;
    private static final int CALLS = 30_000;

    private static final class Target {
        private final int number;
        private int running;

        Target(int number) {
            this.number = number;
        }

        double workTime(long now) {
            boolean isSlow = new Random(number * 31L + now / MOMENT_NANOS).nextInt(6) == 0;
            return SPEEDS[number % SPEEDS.length] * (isSlow ? SLOW_MOMENT : 1);
        }
    }

    /** What one gateway knows of one target. */
    private static final class Known {
        private final WorkTime workTime = WorkTime.create();
        private double callSeconds = CALL_SECONDS;

        void onCall(double seconds, double stated, long now) {
            callSeconds += 0.2 * (seconds - callSeconds);
            if (stated > 0) {
                workTime.onStated(stated, now);
            }
        }
    }

    private record End(long at, Target target) {}

    /** Returns the times of all calls in order, seconds. */
    private static List<Double> play(ToDoubleFunction<Double> statement, double perSecond) {
        Random random = new Random(5);
        Placement placement = Placement.of("z", Duration.ofMillis(30));
        List<Target> targets = IntStream.range(0, TARGETS).mapToObj(Target::new).toList();
        List<List<Known>> known =
                IntStream.range(0, GATEWAYS)
                        .mapToObj(g -> targets.stream().map(t -> new Known()).toList())
                        .toList();
        PriorityQueue<End> ends = new PriorityQueue<>(Comparator.comparing(End::at));
        List<Double> times = new ArrayList<>();
        long now = 0;
        for (int i = 0; i < CALLS; i++) {
            now += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / perSecond);
            while (!ends.isEmpty() && ends.peek().at() <= now) {
                ends.poll().target().running--;
            }
            List<Known> ofGateway = known.get(random.nextInt(GATEWAYS));
            long at = now;
            List<TargetLoad> loads =
                    targets.stream().map(t -> load(t, ofGateway.get(t.number), at)).toList();
            Choice choice = placement.choose(loads, Duration.ofSeconds(5), random.nextLong());
            String id = ((Choice.Placed) choice).target().id();
            Target target = targets.get(Integer.parseInt(id));
            target.running++;
            double workTime = target.workTime(now);
            double seconds = CALL_SECONDS * workTime * (1 + (double) target.running / SLOTS);
            times.add(seconds);
            ends.add(new End(now + (long) (seconds * 1e9), target));
            ofGateway.get(target.number).onCall(seconds, statement.applyAsDouble(workTime), now);
        }
        times.sort(Comparator.naturalOrder());
        return times;
    }

    private static TargetLoad load(Target target, Known known, long now) {
        TargetLoad load =
                new TargetLoad(
                        Integer.toString(target.number),
                        "z",
                        SLOTS,
                        new TargetCalls(target.running, 0),
                        (long) (known.callSeconds * 1e9),
                        45_000_000,
                        false,
                        0);
        return known.workTime.isStated() ? load.withWorkTime(known.workTime.estimate(now)) : load;
    }

    private static double mean(List<Double> times) {
        return times.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    }

    private static double quantile(List<Double> times, double share) {
        return times.get((int) (share * times.size()));
    }

    @Test
    void callsGoToTargetsWhereTheyEndFirst() {
        List<Double> unstated = play(workTime -> 0, 250);
        List<Double> stated = play(workTime -> workTime, 250);

        assertTrue(mean(stated) < 0.9 * mean(unstated), mean(stated) + " of " + mean(unstated));
        assertTrue(
                quantile(stated, 0.95) < 0.9 * quantile(unstated, 0.95),
                quantile(stated, 0.95) + " of " + quantile(unstated, 0.95));
    }

    @Test
    void wrongFiguresCostNoMoreThanHavingNone() {
        List<Double> unstated = play(workTime -> 0, 250);
        List<Double> slowStateThatTheyAreFast = play(w -> w > 1.2 ? 0.1 : w, 250);

        assertTrue(
                mean(slowStateThatTheyAreFast) < 1.05 * mean(unstated),
                mean(slowStateThatTheyAreFast) + " of " + mean(unstated));
    }

    @Test
    void equalFiguresChangeNothing() {
        List<Double> unstated = play(workTime -> 0, 250);
        List<Double> equal = play(workTime -> 1, 250);

        assertTrue(mean(equal) < 1.05 * mean(unstated), mean(equal) + " of " + mean(unstated));
    }
}
