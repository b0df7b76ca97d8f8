package org.sardinelift.standins.cli;

import java.io.IOException;
import java.time.Duration;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.sardinelift.standins.plain.PlainOptions;
import org.sardinelift.standins.plain.PlainStandin;

/** Runs the plain-service stand-in. */
public final class PlainCommand extends Command {

    /** Creates the command. */
    public PlainCommand() {
        super("plain");
    }

    @Override
    Options options() {
        return serverOptions()
                .addOption(optionWithValue("delay-ms", "MS", "delay before the effect, default 0"))
                .addOption(
                        optionWithValue(
                                "fail-every", "N", "every n-th call returns 500 after its effect"))
                .addOption(optionWithValue("cut-every", "N", "every n-th call gets no response"));
    }

    @Override
    int run(CommandLine line) throws IOException {
        PlainOptions options =
                new PlainOptions(
                        hostOption(line),
                        intOption(line, "port", 0),
                        Duration.ofMillis(intOption(line, "delay-ms", 0)),
                        intOption(line, "fail-every", 0),
                        intOption(line, "cut-every", 0));
        return printReady("plain", options.host(), PlainStandin.start(options).port());
    }
}
