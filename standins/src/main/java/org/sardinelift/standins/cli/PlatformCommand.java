package org.sardinelift.standins.cli;

import java.io.IOException;
import java.time.Duration;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.sardinelift.standins.platform.PlatformOptions;
import org.sardinelift.standins.platform.PlatformStandin;

/** Runs the platform stand-in. */
public final class PlatformCommand extends Command {

    /** Creates the command. */
    public PlatformCommand() {
        super("platform");
    }

    @Override
    Options options() {
        return serverOptions()
                .addOption(
                        optionWithValue(
                                "writes-per-second", "N", "limit of writes, default 0 for none"))
                .addOption(
                        optionWithValue(
                                "reads-per-second", "N", "limit of reads, default 0 for none"))
                .addOption(
                        optionWithValue(
                                "list-lag-ms", "MS", "lag of the list of instances, default 0"))
                .addOption(
                        optionWithValue("history", "N", "changes kept for watches, default 10000"));
    }

    @Override
    int run(CommandLine line) throws IOException {
        PlatformOptions defaults = PlatformOptions.defaults();
        PlatformOptions options =
                new PlatformOptions(
                        hostOption(line),
                        intOption(line, "port", 0),
                        intOption(line, "writes-per-second", 0),
                        intOption(line, "reads-per-second", 0),
                        Duration.ofMillis(intOption(line, "list-lag-ms", 0)),
                        intOption(line, "history", defaults.historyLength()));
        return printReady("platform", options.host(), PlatformStandin.start(options).port());
    }
}
