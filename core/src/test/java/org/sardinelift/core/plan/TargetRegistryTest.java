package org.sardinelift.core.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TargetRegistryTest {
    private final TargetRegistry roll = TargetRegistry.empty();

    private static RegisteredTarget entry(String id, boolean leaving) {
        return new RegisteredTarget(id, "s", "10.0.0.1", 80, "z", 8, leaving, 1);
    }

    @Test
    void aMissingTargetIsGone() {
        roll.apply(List.of(entry("a", false), entry("b", false)), Set.of(), 5, false);
        roll.apply(List.of(entry("b", true)), Set.of(), 6, false);

        assertEquals(Set.of("b"), roll.targets().keySet());
        assertTrue(roll.targets().get("b").isLeaving());
    }

    @Test
    void anOldListIsNotTaken() {
        roll.apply(List.of(entry("a", true)), Set.of(), 6, false);

        assertFalse(roll.apply(List.of(entry("a", false)), Set.of(), 5, false));
        assertTrue(roll.targets().get("a").isLeaving());
    }

    @Test
    void targetsMayRegisterAgainWhereTheStoreHasJustComeBack() {
        roll.apply(List.of(entry("a", false), entry("b", false)), Set.of(), 5, false);

        roll.apply(List.of(entry("b", true)), Set.of(), 6, true);
        assertEquals(Set.of("a", "b"), roll.targets().keySet());
        assertTrue(roll.targets().get("b").isLeaving());

        roll.apply(List.of(entry("b", true)), Set.of(), 7, false);
        assertEquals(Set.of("b"), roll.targets().keySet());
    }

    @Test
    void anEntryThatCannotBeReadNamesNoTarget() {
        roll.apply(List.of(entry("a", false)), Set.of(), 5, false);

        roll.apply(List.of(), Set.of("a"), 6, true);

        assertEquals(Set.of(), roll.targets().keySet());
    }
}
