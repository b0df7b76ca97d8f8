package org.sardinelift.entry.batch;

import java.time.Duration;
import java.util.Map;
import org.sardinelift.core.batch.ChunkPacker;
import org.sardinelift.settings.SettingsFile;
import org.sardinelift.settings.SettingsResult;

/** Batch settings that differ from the defaults in a few values, parsed as from a file. */
final class TestSettings {
    private TestSettings() {}

    static BatchSettings with(Map<String, Integer> values) {
        StringBuilder json = new StringBuilder("{");
        values.forEach(
                (name, value) ->
                        json.append(json.length() > 1 ? "," : "")
                                .append('"')
                                .append(name)
                                .append("\":")
                                .append(value));
        var result = SettingsFile.parse(json.append('}').toString(), BatchSettings::read);
        return ((SettingsResult.Valid<BatchSettings>) result).settings();
    }

    static BatchSettings withPacker(ChunkPacker packer) {
        return with(
                Map.of(
                        "chunkItems", packer.maxItems(),
                        "chunkUnrepeatable", packer.maxUnrepeatable(),
                        "chunkBytes", packer.maxBytes()));
    }

    static BatchSettings withLeaseTimeout(Duration timeout) {
        return with(Map.of("leaseTimeoutMs", Math.toIntExact(timeout.toMillis())));
    }
}
