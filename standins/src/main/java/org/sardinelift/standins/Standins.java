package org.sardinelift.standins;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.sardinelift.standins.cli.AdminCommand;
import org.sardinelift.standins.cli.Command;
import org.sardinelift.standins.cli.EngineCommand;
import org.sardinelift.standins.cli.PlainCommand;
import org.sardinelift.standins.cli.PlatformCommand;

/** Main class of the stand-ins program. */
public final class Standins {
    private static final int USAGE_EXIT_STATUS = 2;
    private static final List<Command> COMMANDS =
            List.of(
                    new PlatformCommand(),
                    new EngineCommand(),
                    new PlainCommand(),
                    new AdminCommand());

    private Standins() {}

    /**
     * Runs one command; see {@code --help}.
     *
     * @param args name of the command and its options
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        int status = run(args);
        if (status == Command.KEEP_RUNNING) {
            new CountDownLatch(1).await();
        }
        System.exit(status);
    }

    private static int run(String[] args) {
        if (args.length == 0 || args[0].equals("--help")) {
            System.out.println(usage());
            return args.length == 0 ? USAGE_EXIT_STATUS : 0;
        }
        Optional<Command> command =
                COMMANDS.stream().filter(each -> each.name().equals(args[0])).findFirst();
        if (command.isEmpty()) {
            System.err.println("Unknown command " + args[0] + ". " + usage());
            return USAGE_EXIT_STATUS;
        }
        return command.get().start(Stream.of(args).skip(1).toArray(String[]::new));
    }

    private static String usage() {
        return "Usage: standins COMMAND [OPTIONS]; COMMAND is one of "
                + COMMANDS.stream().map(Command::name).collect(Collectors.joining(", "))
                + ". Each takes --help.";
    }
}
