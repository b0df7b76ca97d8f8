package org.sardinelift.ctl.command;

import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.ctl.Outcome;

/** A command of {@code sardinectl}. */
public abstract class Command {
    private final String name;
    private final String summary;
    private final String arguments;

    Command(String name, String arguments, String summary) {
        this.name = name;
        this.arguments = arguments;
        this.summary = summary;
    }

    /**
     * Returns the name on the command line, one or two words.
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
     * Returns the arguments that follow the options.
     *
     * @return names of the arguments, empty for none
     */
    public final String arguments() {
        return arguments;
    }

    /**
     * Returns the options of this command, without those that all commands have.
     *
     * @return the options
     */
    public abstract Options options();

    /**
     * Runs the command.
     *
     * @param context command line, client and streams
     * @return the outcome
     * @throws ParseException if the command line is wrong
     */
    public abstract Outcome run(CommandContext context) throws ParseException;

    static Option longOption(String longName, String argName, String description) {
        return Option.builder().longOpt(longName).hasArg().argName(argName).desc(description).get();
    }

    static Option shortOption(String name, String argName, String description) {
        return Option.builder(name).hasArg().argName(argName).desc(description).get();
    }
}
