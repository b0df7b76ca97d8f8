package org.sardinelift.ctl;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;
import org.sardinelift.ctl.command.ApplyCommand;
import org.sardinelift.ctl.command.AskCommand;
import org.sardinelift.ctl.command.BatchCancelCommand;
import org.sardinelift.ctl.command.BatchResultsCommand;
import org.sardinelift.ctl.command.BatchStatusCommand;
import org.sardinelift.ctl.command.BatchSubmitCommand;
import org.sardinelift.ctl.command.Command;
import org.sardinelift.ctl.command.CommandContext;
import org.sardinelift.ctl.command.DiffCommand;
import org.sardinelift.ctl.command.DrainCommand;
import org.sardinelift.ctl.command.EvacuationsEndCommand;
import org.sardinelift.ctl.command.EvacuationsListCommand;
import org.sardinelift.ctl.command.EvacuationsStartCommand;
import org.sardinelift.ctl.command.ExplainCommand;
import org.sardinelift.ctl.command.GetCommand;
import org.sardinelift.ctl.command.KeysIssueCommand;
import org.sardinelift.ctl.command.KeysWithdrawCommand;
import org.sardinelift.ctl.command.RolloutStartCommand;
import org.sardinelift.ctl.command.RolloutStatusCommand;
import org.sardinelift.ctl.command.RolloutStopCommand;
import org.sardinelift.ctl.command.StatusCommand;
import org.sardinelift.ctl.command.TargetsCommand;
import org.sardinelift.ctl.command.TeamsCommand;
import org.sardinelift.ctl.http.ApiClient;

/** Finds the command, parses its options, runs it and prints its outcome. */
final class CommandRunner {
    private static final int HELP_WIDTH = 100;
    private static final int DEFAULT_TIMEOUT_MS = 10_000;
    private static final List<Command> COMMANDS =
            List.of(
                    new ApplyCommand(),
                    new GetCommand(),
                    new DiffCommand(),
                    new TeamsCommand(),
                    new KeysIssueCommand(),
                    new KeysWithdrawCommand(),
                    new BatchSubmitCommand(),
                    new BatchStatusCommand(),
                    new BatchResultsCommand(),
                    new BatchCancelCommand(),
                    new AskCommand(),
                    new TargetsCommand(),
                    new DrainCommand(),
                    new RolloutStartCommand(),
                    new RolloutStatusCommand(),
                    new RolloutStopCommand(),
                    new EvacuationsListCommand(),
                    new EvacuationsStartCommand(),
                    new EvacuationsEndCommand(),
                    new ExplainCommand(),
                    new StatusCommand());

    private final Map<String, String> environment;
    private final InputStream in;
    private final PrintStream out;
    private final PrintStream err;

    CommandRunner(
            Map<String, String> environment, InputStream in, PrintStream out, PrintStream err) {
        this.environment = environment;
        this.in = in;
        this.out = out;
        this.err = err;
    }

    ExitCode run(String[] args) {
        if (args.length > 0 && args[0].equals("--help")) {
            out.println(usage());
            return ExitCode.OK;
        }
        if (args.length > 0 && args[0].equals("--version")) {
            out.println(version());
            return ExitCode.OK;
        }
        Optional<Command> command = findCommand(args);
        if (command.isEmpty()) {
            err.println("Unknown command.\n" + usage());
            return ExitCode.USAGE;
        }
        int wordCount = command.get().name().split(" ").length;
        return run(command.get(), Arrays.copyOfRange(args, wordCount, args.length));
    }

    private ExitCode run(Command command, String[] args) {
        Options options = allOptions(command);
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            if (line.hasOption("help")) {
                out.println(help(command, options));
                return ExitCode.OK;
            }
            boolean isJson = isJsonOutput(line);
            return print(isJson, execute(command, line));
        } catch (ParseException e) {
            err.println(e.getMessage() + "\n" + help(command, options));
            return ExitCode.USAGE;
        }
    }

    private Outcome execute(Command command, CommandLine line) throws ParseException {
        String value = line.getOptionValue("timeout-ms", String.valueOf(DEFAULT_TIMEOUT_MS));
        Duration timeout;
        try {
            timeout = Duration.ofMillis(Integer.parseInt(value));
        } catch (NumberFormatException e) {
            throw new ParseException("--timeout-ms: expected a whole number, found " + value);
        }
        try (ApiClient client = ApiClient.create(timeout)) {
            return command.run(new CommandContext(line, environment, client, in, out));
        }
    }

    /** Checked before the command runs: a key that was issued and not printed would be lost. */
    private static boolean isJsonOutput(CommandLine line) throws ParseException {
        String format = line.getOptionValue("output", "text");
        if (!format.equals("text") && !format.equals("json")) {
            throw new ParseException("--output: expected json or text, found " + format);
        }
        return format.equals("json");
    }

    private ExitCode print(boolean isJson, Outcome outcome) {
        boolean failed = outcome.code() != ExitCode.OK;
        if (isJson) {
            out.println(outcome.json());
        } else {
            (failed ? err : out).println(outcome.text());
        }
        return outcome.code();
    }

    private static Optional<Command> findCommand(String[] args) {
        String firstWord = args.length > 0 ? args[0] : "";
        String firstTwoWords = args.length > 1 ? firstWord + " " + args[1] : firstWord;
        return COMMANDS.stream()
                .filter(
                        command ->
                                command.name().equals(firstTwoWords)
                                        || command.name().equals(firstWord))
                .findFirst();
    }

    private static Options allOptions(Command command) {
        return command.options()
                .addOption(
                        Option.builder()
                                .longOpt("output")
                                .hasArg()
                                .argName("json|text")
                                .desc("output format, default text")
                                .get())
                .addOption(
                        Option.builder()
                                .longOpt("timeout-ms")
                                .hasArg()
                                .argName("MS")
                                .desc(
                                        "longest time without data in a call, default "
                                                + DEFAULT_TIMEOUT_MS)
                                .get())
                .addOption(null, "help", false, "show this help");
    }

    private static String usage() {
        String commands =
                COMMANDS.stream()
                        .map(each -> "  %-17s %s".formatted(each.name(), each.summary()))
                        .collect(Collectors.joining("\n"));
        String codes =
                Stream.of(ExitCode.values())
                        .map(code -> "  %d  %s".formatted(code.status(), code.meaning()))
                        .collect(Collectors.joining("\n"));
        return "Usage: sardinectl COMMAND [OPTIONS] [ARGUMENTS]\nCommands, each with --help:\n"
                + commands
                + "\nExit codes:\n"
                + codes;
    }

    private static String help(Command command, Options options) {
        StringBuilder text = new StringBuilder();
        TextHelpAppendable appendable = new TextHelpAppendable(text);
        appendable.setMaxWidth(HELP_WIDTH);
        try {
            HelpFormatter.builder()
                    .setHelpAppendable(appendable)
                    .setShowSince(false)
                    .get()
                    .printHelp(
                            ("sardinectl " + command.name() + " [OPTIONS] " + command.arguments())
                                    .strip(),
                            command.summary(),
                            options,
                            "",
                            false);
        } catch (IOException e) {
            throw new UncheckedIOException("writing help to a string builder failed", e);
        }
        return text.toString().stripTrailing();
    }

    private static String version() {
        String version = Sardinectl.class.getPackage().getImplementationVersion();
        return "sardinectl " + (version == null ? "unpackaged" : version);
    }
}
