package org.sardinelift.core.catalog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class CatalogMergerTest {
    private static final ConfigRef KEY = new ConfigRef(ConfigKind.KEY, "k1");

    @Property(seed = "41")
    void sameChangesInAnyOrderGiveTheSameCatalog(
            @ForAll @Size(min = 1, max = 30) List<@IntRange(min = 0, max = 4) Integer> writes,
            @ForAll Random random) {
        List<ConfigState> history = history(writes);
        CatalogMerger inOrder = CatalogMerger.create();
        history.forEach(inOrder::apply);

        List<ConfigState> shuffled = new ArrayList<>(history);
        shuffled.addAll(history.subList(0, history.size() / 2));
        Collections.shuffle(shuffled, random);
        CatalogMerger outOfOrder = CatalogMerger.create();
        shuffled.forEach(outOfOrder::apply);

        assertEquals(inOrder.catalog(), outOfOrder.catalog());
    }

    @Property(seed = "42")
    void staleListDoesNotRestoreADeletedObject(
            @ForAll @Size(min = 2, max = 30) List<@IntRange(min = 0, max = 4) Integer> writes,
            @ForAll Random random) {
        List<ConfigState> history = history(writes);
        CatalogMerger merger = CatalogMerger.create();
        history.forEach(merger::apply);
        Catalog newest = merger.catalog();

        int until = random.nextInt(history.size());
        CatalogMerger staleMerger = CatalogMerger.create();
        history.subList(0, until).forEach(staleMerger::apply);
        List<ConfigState> staleList =
                history.subList(0, until).stream()
                        .filter(
                                state ->
                                        staleMerger
                                                .catalog()
                                                .keys()
                                                .containsKey(state.ref().name()))
                        .filter(state -> state.item() != null)
                        .toList();
        merger.applyList(ConfigKind.KEY, until, staleList);

        assertEquals(newest.keys(), merger.catalog().keys());
    }

    @Test
    void listWithoutAnObjectDeletesItUnlessTheObjectIsNewer() {
        CatalogMerger merger = CatalogMerger.create();
        merger.apply(key(5, false));
        merger.applyList(ConfigKind.KEY, 4, List.of());
        assertTrue(merger.catalog().keys().containsKey("k1"));
        merger.applyList(ConfigKind.KEY, 6, List.of());
        assertFalse(merger.catalog().keys().containsKey("k1"));
        merger.apply(key(5, false));
        assertFalse(merger.catalog().keys().containsKey("k1"));
    }

    @Test
    void changedTemplateAppliesToItsTeamsButNotToTheirOwnValues() {
        CatalogMerger merger = CatalogMerger.create();
        ConfigRef template = new ConfigRef(ConfigKind.TEMPLATE, "standard");
        merger.apply(new ConfigState(template, 1, template(10, 20)));
        TeamSpec own =
                new TeamSpec(
                        "north",
                        "standard",
                        Optional.of(7.0),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty());
        merger.apply(new ConfigState(new ConfigRef(ConfigKind.TEAM, "north"), 2, own));
        merger.apply(new ConfigState(template, 3, template(50, 100)));

        TeamPlan plan = merger.catalog().teams().get("north");
        assertEquals(7.0, plan.ratePerSecond());
        assertEquals(100.0, plan.burst());
    }

    @Test
    void teamWithoutItsTemplateIsNotInEffectAndIsReported() {
        CatalogMerger merger = CatalogMerger.create();
        TeamSpec team =
                new TeamSpec(
                        "north",
                        "absent",
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty());
        merger.apply(new ConfigState(new ConfigRef(ConfigKind.TEAM, "north"), 2, team));
        assertTrue(merger.catalog().teams().isEmpty());
        assertEquals(List.of(ConfigProblem.missingTemplate("north", "absent")), merger.problems());
    }

    private static List<ConfigState> history(List<Integer> writes) {
        List<ConfigState> history = new ArrayList<>();
        for (int i = 0; i < writes.size(); i++) {
            int write = writes.get(i);
            ConfigRef ref = new ConfigRef(ConfigKind.KEY, "k" + write % 2);
            KeyEntry entry = new KeyEntry(ref.name(), "t", "d" + i, write == 3);
            history.add(new ConfigState(ref, i + 1, write == 4 ? null : entry));
        }
        return history;
    }

    private static ConfigState key(long revision, boolean withdrawn) {
        return new ConfigState(KEY, revision, new KeyEntry("k1", "t", "d", withdrawn));
    }

    private static TeamTemplate template(double rate, double burst) {
        return new TeamTemplate("standard", rate, burst, Set.of("m"), Set.of(), 1, 1);
    }
}
