package org.sardinelift.bench.slope;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.sardinelift.core.catalog.Catalog;
import org.sardinelift.core.catalog.CatalogMerger;
import org.sardinelift.core.catalog.ConfigKind;
import org.sardinelift.core.catalog.ConfigRef;
import org.sardinelift.core.catalog.ConfigState;
import org.sardinelift.core.catalog.KeyEntry;
import org.sardinelift.core.catalog.TeamSpec;
import org.sardinelift.core.catalog.TeamTemplate;

/** Growth of the configuration catalog with teams. */
final class CatalogSlopes {
    private static final int[] TEAMS = {64, 512, 2048, 4100};
    private static final int KEYS_PER_TEAM = 2;
    private static final int DIGEST_HEX_DIGITS = 64;

    private CatalogSlopes() {}

    static List<Slope> measure() {
        return List.of(
                Slope.measure(
                        "entry",
                        "catalog, 2 keys a team",
                        "teams",
                        "bytes",
                        TEAMS,
                        teams ->
                                Measurements.medianHeapBytes(
                                        () -> RetainedCatalog.of(filledMerger(teams)))),
                Slope.measure(
                        "entry",
                        "configuration change applied",
                        "teams",
                        "ns",
                        TEAMS,
                        CatalogSlopes::changeTime));
    }

    private record RetainedCatalog(CatalogMerger merger, Catalog catalog) {
        static RetainedCatalog of(CatalogMerger merger) {
            return new RetainedCatalog(merger, merger.catalog());
        }
    }

    private static double changeTime(int teams) {
        CatalogMerger merger = filledMerger(teams);
        AtomicLong revision = new AtomicLong(1L << 32);
        return Measurements.medianNanos(
                () -> {
                    long next = revision.incrementAndGet();
                    merger.apply(team((int) (next % teams), next));
                    merger.catalog();
                });
    }

    private static CatalogMerger filledMerger(int teams) {
        CatalogMerger merger = CatalogMerger.create();
        merger.apply(
                new ConfigState(
                        new ConfigRef(ConfigKind.TEMPLATE, "standard"),
                        1,
                        new TeamTemplate("standard", 10, 20, Set.of("m1"), Set.of(), 1, 1)));
        for (int index = 0; index < teams; index++) {
            merger.apply(team(index, index + 2));
            for (int key = 0; key < KEYS_PER_TEAM; key++) {
                merger.apply(key(index, key));
            }
        }
        return merger;
    }

    private static ConfigState team(int index, long revision) {
        String name = "team-" + index;
        TeamSpec spec =
                new TeamSpec(
                        name,
                        "standard",
                        Optional.of((double) revision % 100),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty());
        return new ConfigState(new ConfigRef(ConfigKind.TEAM, name), revision, spec);
    }

    private static ConfigState key(int team, int number) {
        String id = "k%08x%02x".formatted(team, number);
        String digest =
                id.repeat(DIGEST_HEX_DIGITS / id.length() + 1).substring(0, DIGEST_HEX_DIGITS);
        KeyEntry key = new KeyEntry(id, "team-" + team, digest, false);
        return new ConfigState(new ConfigRef(ConfigKind.KEY, id), team + 2, key);
    }
}
