package org.sardinelift.bench.model;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.sardinelift.bench.report.Output;

/** Table of the results of all policies on the same loads. */
public final class ModelTable implements Output {
    private final String text;

    private ModelTable(String text) {
        this.text = text;
    }

    /**
     * Simulates each policy on each load.
     *
     * @param seed seed of arrivals and sizes
     * @return the table
     */
    public static ModelTable simulate(long seed) {
        Map<String, ModelSettings> loads = new LinkedHashMap<>();
        loads.put("usual load", ModelSettings.small(1, seed));
        loads.put("usual load without batch", ModelSettings.small(1, seed).withoutBatch());
        loads.put("a third more", ModelSettings.small(1.33, seed));
        loads.put("half of the targets lost", ModelSettings.small(1, seed).withTargetsPerZone(1));
        return new ModelTable(
                loads.entrySet().stream()
                        .map(load -> table(load.getKey(), load.getValue()))
                        .collect(Collectors.joining("\n")));
    }

    private static String table(String name, ModelSettings settings) {
        return name
                + ", parts in 100\n"
                + ModelResult.header()
                + "\n"
                + Stream.of(ModelPolicy.values())
                        .map(
                                policy ->
                                        LoadModel.simulate(settings, policy).row(policy.label())
                                                + "\n")
                        .collect(Collectors.joining());
    }

    @Override
    public String table() {
        return text;
    }

    @Override
    public void write(Path folder, String name) throws IOException {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve(name + ".txt"), text);
    }
}
