package org.sardinelift.bench;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.sardinelift.bench.command.Command;
import org.sardinelift.bench.command.LatencyCommand;
import org.sardinelift.bench.command.MeasuresCommand;
import org.sardinelift.bench.command.ModelCommand;
import org.sardinelift.bench.command.SlopesCommand;
import org.sardinelift.bench.command.ThroughputCommand;

/** Command-line tool that measures a fleet under load. */
public final class Bench {
    private static final int USAGE_STATUS = 2;
    private static final List<Command> COMMANDS =
            List.of(
                    new MeasuresCommand(),
                    new LatencyCommand(),
                    new ThroughputCommand(),
                    new SlopesCommand(),
                    new ModelCommand());

    private Bench() {}

    /**
     * Runs one command; see {@code --help}.
     *
     * @param args command name and options
     */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    private static int run(String[] args) {
        String name = args.length == 0 ? "" : args[0];
        Optional<Command> command =
                COMMANDS.stream().filter(each -> each.name().equals(name)).findFirst();
        if (command.isPresent()) {
            return command.get().execute(Stream.of(args).skip(1).toArray(String[]::new));
        }
        String usage =
                COMMANDS.stream()
                        .map(each -> "  %-10s %s".formatted(each.name(), each.summary()))
                        .collect(
                                Collectors.joining(
                                        "\n",
                                        "Usage: bench COMMAND [OPTIONS]; each takes --help.\n",
                                        ""));
        System.out.println(usage);
        return name.equals("--help") ? 0 : USAGE_STATUS;
    }
}
