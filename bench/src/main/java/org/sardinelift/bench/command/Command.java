package org.sardinelift.bench.command;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;
import org.sardinelift.bench.load.TeamLoad;
import org.sardinelift.bench.report.Output;
import org.sardinelift.http.HttpClient;

/** A command of the measuring tool. */
public abstract class Command {
    private static final int FAILURE_STATUS = 1;
    private static final int USAGE_STATUS = 2;
    private static final int HELP_WIDTH = 100;
    private static final int EVENT_LOOPS = 2;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);

    private final String name;
    private final String summary;

    Command(String name, String summary) {
        this.name = name;
        this.summary = summary;
    }

    /**
     * Returns the name on the command line.
     *
     * @return the name
     */
    public final String name() {
        return name;
    }

    /**
     * Returns what the command does.
     *
     * @return one line
     */
    public final String summary() {
        return summary;
    }

    /**
     * Parses the options, runs the command, prints its report and writes it as JSON and SVG.
     *
     * @param args options
     * @return the exit status
     */
    public final int execute(String[] args) {
        Options options = allOptions();
        EventLoopGroup group = null;
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            if (line.hasOption("help")) {
                System.out.println(help(options));
                return 0;
            }
            group =
                    new MultiThreadIoEventLoopGroup(
                            EVENT_LOOPS,
                            new DefaultThreadFactory("bench", true),
                            NioIoHandler.newFactory());
            Output report = run(line, HttpClient.create(group, CONNECT_TIMEOUT, null));
            System.out.println(report.table());
            report.write(Path.of(line.getOptionValue("out", "run/bench")), name);
            return 0;
        } catch (ParseException | IllegalArgumentException e) {
            System.err.println(e.getMessage() + "\n" + help(options));
            return USAGE_STATUS;
        } catch (IOException | IllegalStateException e) {
            System.err.println(e.getMessage());
            return FAILURE_STATUS;
        } finally {
            if (group != null) {
                group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            }
        }
    }

    abstract Options options();

    abstract Output run(CommandLine line, HttpClient client) throws IOException, ParseException;

    static Option longOption(String longName, String argName, String description) {
        return Option.builder().longOpt(longName).hasArg().argName(argName).desc(description).get();
    }

    static String requiredOption(CommandLine line, String option) throws ParseException {
        String value = line.getOptionValue(option);
        if (value == null) {
            throw new ParseException("--" + option + " is missing");
        }
        return value;
    }

    static int intOption(CommandLine line, String option, int defaultValue) {
        String value = line.getOptionValue(option, Integer.toString(defaultValue));
        try {
            return Integer.parseInt(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "--" + option + ": expected a whole number, found " + value, e);
        }
    }

    static Duration secondsOption(CommandLine line, String option, int defaultValue) {
        return Duration.ofSeconds(intOption(line, option, defaultValue));
    }

    static List<TeamLoad> teamsOption(CommandLine line) throws ParseException {
        return TeamLoad.parse(requiredOption(line, "teams"));
    }

    private Options allOptions() {
        return options()
                .addOption(longOption("model", "MODEL", "model requested, default registry-llm"))
                .addOption(longOption("max-tokens", "N", "tokens of each answer, default 16"))
                .addOption(
                        longOption("prompt-chars", "N", "characters of each prompt, default 256"))
                .addOption(longOption("seed", "N", "seed of the arrivals, default 1"))
                .addOption(
                        longOption(
                                "out",
                                "FOLDER",
                                "folder for JSON and SVG files, default run/bench"))
                .addOption(null, "help", false, "show this help");
    }

    private String help(Options options) {
        StringBuilder text = new StringBuilder();
        TextHelpAppendable appendable = new TextHelpAppendable(text);
        appendable.setMaxWidth(HELP_WIDTH);
        try {
            HelpFormatter.builder()
                    .setHelpAppendable(appendable)
                    .setShowSince(false)
                    .get()
                    .printHelp("bench " + name + " [OPTIONS]", summary, options, "", false);
        } catch (IOException e) {
            throw new UncheckedIOException("writing help to a string builder failed", e);
        }
        return text.toString().stripTrailing();
    }
}
