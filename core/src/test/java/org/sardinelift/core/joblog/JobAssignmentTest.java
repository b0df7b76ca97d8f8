package org.sardinelift.core.joblog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class JobAssignmentTest {
    private static final long MILLI = 1_000_000;
    private static final Duration GRACE = Duration.ofMillis(300);

    @Test
    void jobRunByAnotherWorkerIsLeftToIt() {
        JobAssignment assignment = JobAssignment.of("w1", GRACE);

        assertFalse(assignment.isAssignedHere("j", false, Map.of("w2", true), 0));
        assertFalse(assignment.isAssignedHere("j", false, Map.of("w2", true), 10_000 * MILLI));
    }

    @Test
    void jobOfALostWorkerIsAssignedToOneWorkerAfterTheGrace() {
        List<String> names = List.of("w1", "w2", "w3");
        for (int job = 0; job < 20; job++) {
            String id = "j" + job;
            List<String> assigned =
                    names.stream().filter(name -> isAssignedAfterGrace(name, names, id)).toList();
            assertEquals(1, assigned.size(), id + " " + assigned);
        }
    }

    private static boolean isAssignedAfterGrace(String self, List<String> names, String job) {
        JobAssignment assignment = JobAssignment.of(self, GRACE);
        Map<String, Boolean> claims = others(self, names, false);
        assertFalse(assignment.isAssignedHere(job, false, claims, 0));
        return assignment.isAssignedHere(job, false, claims, 300 * MILLI);
    }

    private static Map<String, Boolean> others(String self, List<String> names, boolean isClaimed) {
        return names.stream()
                .filter(name -> !name.equals(self))
                .collect(
                        Collectors.toMap(
                                name -> name, name -> isClaimed, (a, b) -> a, TreeMap::new));
    }

    @Test
    void oneOfTwoWorkersThatRunAJobStops() {
        long continued =
                IntStream.range(0, 20)
                        .filter(
                                i -> {
                                    String id = "j" + i;
                                    boolean first =
                                            JobAssignment.of("w1", GRACE)
                                                    .isAssignedHere(
                                                            id, true, Map.of("w2", true), 0);
                                    boolean second =
                                            JobAssignment.of("w2", GRACE)
                                                    .isAssignedHere(
                                                            id, true, Map.of("w1", true), 0);
                                    assertTrue(first != second, id);
                                    return first;
                                })
                        .count();

        assertTrue(continued > 0 && continued < 20, "" + continued);
    }

    @Test
    void workerKeepsItsJobWhenOthersJoin() {
        JobAssignment assignment = JobAssignment.of("w1", GRACE);

        assertTrue(assignment.isAssignedHere("j", true, Map.of("w2", false, "w3", false), 0));
    }

    @Test
    void onlyWorkerIsAssignedEveryJobAfterTheGrace() {
        JobAssignment assignment = JobAssignment.of("w1", GRACE);

        assertFalse(assignment.isAssignedHere("j", false, Map.of(), 0));
        assertTrue(assignment.isAssignedHere("j", false, Map.of(), 300 * MILLI));
    }
}
