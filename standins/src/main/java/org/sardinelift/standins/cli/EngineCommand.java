package org.sardinelift.standins.cli;

import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.sardinelift.standins.engine.CrashMode;
import org.sardinelift.standins.engine.EngineOptions;
import org.sardinelift.standins.engine.EngineStandin;
import org.sardinelift.standins.engine.Overload;

/** Runs the engine stand-in. */
public final class EngineCommand extends Command {

    /** Creates the command. */
    public EngineCommand() {
        super("engine");
    }

    @Override
    Options options() {
        return serverOptions()
                .addOption(
                        optionWithValue(
                                "models", "A,B", "models loaded at start-up, default registry-llm"))
                .addOption(optionWithValue("slots", "N", "sequences decoded at once, default 8"))
                .addOption(
                        optionWithValue(
                                "overload", "wait|slow", "requests beyond the slots, default wait"))
                .addOption(
                        optionWithValue(
                                "token-us", "US", "duration of a decode step, default 5000"))
                .addOption(
                        optionWithValue(
                                "prefill-us", "US", "prefill time of a prompt token, default 50"))
                .addOption(
                        optionWithValue(
                                "cache-blocks",
                                "N",
                                "prefix cache, blocks of 16 tokens, default 4096"))
                .addOption(
                        optionWithValue("load-lag-ms", "MS", "age of the load report, default 500"))
                .addOption(optionWithValue("load-ms", "MS", "time to load a model, default 200"))
                .addOption(
                        optionWithValue(
                                "tokens", "N", "answer length without max_tokens, default 16"))
                .addOption(
                        optionWithValue(
                                "retained", "N", "ended sequences kept for a resume, default 256"))
                .addOption(
                        optionWithValue(
                                "crash-marker", "TEXT", "text in a prompt that crashes the engine"))
                .addOption(
                        optionWithValue(
                                "crash-mode", "exit|drop", "effect of a crash, default exit"))
                .addOption(
                        optionWithValue(
                                "drop-ms",
                                "MS",
                                "time without connections after a drop, default 1000"))
                .addOption(null, "no-fence-check", false, "accept orders with old fencing numbers");
    }

    @Override
    int run(CommandLine line) throws IOException {
        EngineOptions defaults = EngineOptions.defaults();
        EngineOptions options =
                new EngineOptions(
                        hostOption(line),
                        intOption(line, "port", 0),
                        Set.of(line.getOptionValue("models", "registry-llm").split(",")),
                        intOption(line, "slots", defaults.slots()),
                        Overload.valueOf(upper(line, "overload", "wait")),
                        micros(line, "token-us", defaults.tokenTime()),
                        micros(line, "prefill-us", defaults.prefillPerToken()),
                        intOption(line, "cache-blocks", defaults.cacheBlocks()),
                        millis(line, "load-lag-ms", defaults.loadLag()),
                        millis(line, "load-ms", defaults.loadTime()),
                        intOption(line, "tokens", defaults.defaultTokens()),
                        intOption(line, "retained", defaults.retained()),
                        line.getOptionValue("crash-marker", ""),
                        CrashMode.valueOf(upper(line, "crash-mode", "exit")),
                        millis(line, "drop-ms", defaults.dropTime()),
                        !line.hasOption("no-fence-check"));
        return printReady("engine", options.host(), EngineStandin.start(options).port());
    }

    private static String upper(CommandLine line, String option, String defaultValue) {
        return line.getOptionValue(option, defaultValue).toUpperCase(Locale.ROOT);
    }

    private static Duration millis(CommandLine line, String option, Duration defaultValue) {
        return Duration.ofMillis(intOption(line, option, (int) defaultValue.toMillis()));
    }

    private static Duration micros(CommandLine line, String option, Duration defaultValue) {
        int defaultMicros = (int) TimeUnit.NANOSECONDS.toMicros(defaultValue.toNanos());
        return Duration.ofNanos(
                TimeUnit.MICROSECONDS.toNanos(intOption(line, option, defaultMicros)));
    }
}
