package org.sardinelift.core.explain;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TeamTallyTest {
    private final TeamRequestCounter tally = TeamRequestCounter.create();

    @Test
    void theRateIsThatOfTheLastWholeSeconds() {
        for (int second = 0; second < 20; second++) {
            for (int i = 0; i < 5; i++) {
                tally.onAdmitted("patrol", nanos(second));
            }
        }

        assertEquals(
                new TeamRequestCounter.Traffic(100, 0, 5), tally.traffic(nanos(20)).get("patrol"));
        assertEquals(2.5, tally.traffic(nanos(25)).get("patrol").perSecond());
        assertEquals(0, tally.traffic(nanos(1_000)).get("patrol").perSecond());
    }

    @Test
    void countsRefusalsAndForgetsTeamsThatAreGone() {
        tally.onRefused("patrol");
        tally.onRefused("patrol");
        tally.onAdmitted("depot", nanos(1));

        assertEquals(
                new TeamRequestCounter.Traffic(0, 2, 0), tally.traffic(nanos(2)).get("patrol"));
        tally.retain(Set.of("depot"));
        assertEquals(Set.of("depot"), tally.traffic(nanos(2)).keySet());
    }

    private static long nanos(int second) {
        return TimeUnit.SECONDS.toNanos(second);
    }
}
