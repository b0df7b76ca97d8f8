package org.sardinelift.core.joblog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against items given up too early, and against a record that grows with every job. */
class MissingRoutesTest {
    private final MissingRoutes routes = MissingRoutes.create(Duration.ofNanos(10));

    @Test
    void aRouteThatComesBackIsMissedAnew() {
        assertFalse(routes.onMissing("a", 0));
        assertTrue(routes.onMissing("a", 10));
        routes.onFound("a");
        assertFalse(routes.onMissing("a", 11));
    }

    @Test
    void jobsThatRunElsewhereAreForgotten() {
        routes.onMissing("a", 0);
        routes.onMissing("b", 0);

        routes.retainJobs(Set.of("b"));

        assertEquals(1, routes.size());
        assertFalse(routes.onMissing("a", 20));
        assertTrue(routes.onMissing("b", 20));
    }
}
