package org.sardinelift.standins.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;

/** Base class of the commands of the stand-ins program. */
public abstract class Command {
    /** Status of a command that has started a server and must keep running. */
    public static final int KEEP_RUNNING = -1;

    private static final int FAILURE_EXIT_STATUS = 1;
    private static final int USAGE_EXIT_STATUS = 2;
    private static final int HELP_WIDTH = 100;

    private final String name;

    Command(String name) {
        this.name = name;
    }

    /**
     * Returns the name used on the command line.
     *
     * @return the name
     */
    public final String name() {
        return name;
    }

    /**
     * Parses the options and runs the command.
     *
     * @param args command-line options
     * @return exit status, or {@link #KEEP_RUNNING}
     */
    public final int start(String[] args) {
        Options options = options().addOption(null, "help", false, "show this help");
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            if (line.hasOption("help")) {
                System.out.println(help(options));
                return 0;
            }
            return run(line);
        } catch (ParseException | IllegalArgumentException e) {
            System.err.println(e.getMessage() + "\n" + help(options));
            return USAGE_EXIT_STATUS;
        } catch (IOException e) {
            System.err.println(e.getMessage());
            return FAILURE_EXIT_STATUS;
        }
    }

    abstract Options options();

    abstract int run(CommandLine line) throws IOException;

    static Option optionWithValue(String longName, String argName, String description) {
        return Option.builder().longOpt(longName).hasArg().argName(argName).desc(description).get();
    }

    static int intOption(CommandLine line, String option, int defaultValue) {
        String given = line.getOptionValue(option);
        if (given == null) {
            return defaultValue;
        }
        try {
            return Integer.parseInt(given);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "--" + option + ": expected a whole number, found " + given);
        }
    }

    static Options serverOptions() {
        return new Options()
                .addOption(optionWithValue("host", "ADDRESS", "address to bind, default 127.0.0.1"))
                .addOption(optionWithValue("port", "PORT", "port to bind, default 0 for any"));
    }

    static String hostOption(CommandLine line) {
        return line.getOptionValue("host", "127.0.0.1");
    }

    static int printReady(String role, String host, int port) {
        System.out.println(
                "{\"ready\":true,\"role\":\"%s\",\"address\":\"%s:%d\",\"port\":%d}"
                        .formatted(role, host, port, port));
        System.out.flush();
        return KEEP_RUNNING;
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
                    .printHelp("standins " + name + " [OPTIONS]", "", options, "", false);
        } catch (IOException e) {
            throw new UncheckedIOException("writing to a StringBuilder can't fail", e);
        }
        return text.toString().stripTrailing();
    }
}
