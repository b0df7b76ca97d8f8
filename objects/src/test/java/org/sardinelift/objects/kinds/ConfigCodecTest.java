package org.sardinelift.objects.kinds;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.sardinelift.core.catalog.ConfigItem;
import org.sardinelift.core.catalog.ConfigKind;
import org.sardinelift.core.catalog.ConfigProblem;
import org.sardinelift.core.catalog.ConfigRef;
import org.sardinelift.core.catalog.KeyEntry;
import org.sardinelift.core.catalog.ServiceSpec;
import org.sardinelift.core.catalog.TeamSpec;
import org.sardinelift.core.catalog.TeamTemplate;

/** Tests that configuration objects survive encoding and that all errors are reported. */
class ConfigCodecTest {
    static List<ConfigItem> items() {
        return List.of(
                new TeamTemplate("standard", 12.5, 20, Set.of("m"), Set.of(), 2, 3),
                new TeamSpec(
                        "north",
                        "standard",
                        Optional.of(3.0),
                        Optional.empty(),
                        Optional.of(Set.of()),
                        Optional.empty(),
                        Optional.of(4),
                        Optional.empty()),
                new KeyEntry("k1", "north", "00ff", true),
                new ServiceSpec("registry", true, Set.of("m"), false, Set.of("GET"), true));
    }

    @ParameterizedTest
    @MethodSource("items")
    void anEncodedObjectIsDecodedToTheSameValue(ConfigItem item) {
        assertEquals(
                new DecodeResult.Valid<>(item),
                ConfigCodec.decode(ConfigCodec.refOf(item), ConfigCodec.encode(item)));
    }

    @Test
    void everyErrorIsReportedWithItsPath() {
        DecodeResult<ConfigItem> result =
                ConfigCodec.decode(
                        new ConfigRef(ConfigKind.TEMPLATE, "standard"),
                        "{\"burst\": \"many\", \"colour\": 1}");
        DecodeResult.Invalid<?> invalid = assertInstanceOf(DecodeResult.Invalid.class, result);
        assertEquals(
                List.of(
                        "template/standard/burst",
                        "template/standard/colour",
                        "template/standard/ratePerSecond"),
                invalid.problems().stream().map(ConfigProblem::path).sorted().toList());
    }
}
