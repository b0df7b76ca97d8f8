package org.sardinelift.core.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** An old or incomplete list of targets must not remove or restore targets wrongly. */
class TargetRegistryTest {
    private final TargetRegistry registry = TargetRegistry.empty();

    private static RegisteredTarget target(String id, boolean leaving) {
        return new RegisteredTarget(id, "s", "10.0.0.1", 80, "z", 8, leaving, 1, "v1");
    }

    @Test
    void aMissingTargetIsRemoved() {
        registry.apply(List.of(target("a", false), target("b", false)), Set.of(), 5, false);
        registry.apply(List.of(target("b", true)), Set.of(), 6, false);

        assertEquals(Set.of("b"), registry.targets().keySet());
        assertTrue(registry.targets().get("b").isLeaving());
    }

    @Test
    void anOldListIsIgnored() {
        registry.apply(List.of(target("a", true)), Set.of(), 6, false);

        assertFalse(registry.apply(List.of(target("a", false)), Set.of(), 5, false));
        assertTrue(registry.targets().get("a").isLeaving());
    }

    @Test
    void missingTargetsAreKeptWhileTheyRegisterAgain() {
        registry.apply(List.of(target("a", false), target("b", false)), Set.of(), 5, false);

        registry.apply(List.of(target("b", true)), Set.of(), 6, true);
        assertEquals(Set.of("a", "b"), registry.targets().keySet());
        assertTrue(registry.targets().get("b").isLeaving());

        registry.apply(List.of(target("b", true)), Set.of(), 7, false);
        assertEquals(Set.of("b"), registry.targets().keySet());
    }

    @Test
    void anUnreadableEntryRemovesItsTarget() {
        registry.apply(List.of(target("a", false)), Set.of(), 5, false);

        registry.apply(List.of(), Set.of("a"), 6, true);

        assertEquals(Set.of(), registry.targets().keySet());
    }
}
