package org.sardinelift.core.explain;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TeamRequestCounterTest {
    private final TeamRequestCounter counter = TeamRequestCounter.create();

    @Test
    void rateIsComputedOverTheLastWholeSeconds() {
        for (int second = 0; second < 20; second++) {
            for (int i = 0; i < 5; i++) {
                counter.onAdmitted("patrol", nanos(second));
            }
        }

        assertEquals(
                new TeamRequestCounter.Traffic(100, 0, 5),
                counter.traffic(nanos(20)).get("patrol"));
        assertEquals(2.5, counter.traffic(nanos(25)).get("patrol").perSecond());
        assertEquals(0, counter.traffic(nanos(1_000)).get("patrol").perSecond());
    }

    @Test
    void refusalsAreCountedAndMissingTeamsAreRemoved() {
        counter.onRefused("patrol");
        counter.onRefused("patrol");
        counter.onAdmitted("depot", nanos(1));

        assertEquals(
                new TeamRequestCounter.Traffic(0, 2, 0), counter.traffic(nanos(2)).get("patrol"));
        counter.retainTeams(Set.of("depot"));
        assertEquals(Set.of("depot"), counter.traffic(nanos(2)).keySet());
    }

    private static long nanos(int second) {
        return TimeUnit.SECONDS.toNanos(second);
    }
}
