package org.sardinelift.core.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class BatchSchedulerTest {
    private static final int WAITING_PER_TEAM = 400;

    private final BatchScheduler<String> scheduler = BatchScheduler.create();

    private void add(String team, int weight, String job, long dueMs, String lane, String group) {
        String item = String.join("/", team, job, lane, group);
        scheduler.add(team, weight, job, dueMs, lane, group, item);
    }

    private List<String> dequeue(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> scheduler.dequeue(item -> true).orElseThrow())
                .toList();
    }

    @Property(tries = 50, seed = "11")
    void teamsAreServedByWeightWhileBothWait(
            @ForAll @IntRange(min = 1, max = 5) int first,
            @ForAll @IntRange(min = 1, max = 5) int second) {
        BatchScheduler<String> fair = BatchScheduler.create();
        IntStream.range(0, WAITING_PER_TEAM)
                .forEach(
                        i -> {
                            fair.add("a", first, "j", 0, "l", "", "a");
                            fair.add("b", second, "k", 0, "l", "", "b");
                        });
        int rounds = 30;
        int dequeued = rounds * (first + second);
        long ofFirst =
                IntStream.range(0, dequeued)
                        .mapToObj(i -> fair.dequeue(item -> true).orElseThrow())
                        .filter("a"::equals)
                        .count();
        assertTrue(Math.abs(ofFirst - rounds * first) <= 1, () -> ofFirst + " of " + dequeued);
    }

    @Test
    void jobWithTheEarliestDeadlineGoesFirstWithinATeam() {
        add("a", 1, "later", 200, "l", "");
        add("a", 1, "sooner", 100, "l", "");
        assertEquals("a/sooner/l/", dequeue(1).get(0));
    }

    @Test
    void itemsWithASharedPrefixGoTogether() {
        add("a", 1, "j", 0, "l", "x");
        add("a", 1, "j", 0, "l", "y");
        add("a", 1, "j", 0, "l", "x");
        assertEquals(List.of("a/j/l/x", "a/j/l/x", "a/j/l/y"), dequeue(3));
    }

    @Test
    void laneThatCannotStartDoesNotBlockOthers() {
        add("a", 1, "j", 0, "blocked", "");
        add("a", 1, "j", 0, "free", "");
        add("b", 1, "k", 0, "blocked", "");
        assertEquals(Optional.of("a/j/free/"), scheduler.dequeue(item -> item.contains("free")));
        assertEquals(Optional.empty(), scheduler.dequeue(item -> item.contains("free")));
        assertEquals(2, scheduler.waitingCount());
    }

    @Test
    void removedJobHasNoWaitingItems() {
        add("a", 1, "j", 0, "l", "");
        add("a", 1, "k", 0, "l", "");
        scheduler.removeJob("a", "j");
        assertEquals(1, scheduler.waitingCount());
        assertEquals(List.of("a/k/l/"), dequeue(1));
    }
}
