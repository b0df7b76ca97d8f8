package org.sardinelift.ctl;

import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Command-line tool for operators and callers. */
public final class Sardinectl {
    private Sardinectl() {}

    /**
     * Runs one command; see {@code --help}.
     *
     * @param args command name, options and arguments
     */
    public static void main(String[] args) {
        PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
        PrintStream err = new PrintStream(System.err, true, StandardCharsets.UTF_8);
        System.exit(run(args, System.getenv(), System.in, out, err).status());
    }

    /**
     * Runs one command with the given environment and streams.
     *
     * @param args command name, options and arguments
     * @param environment environment variables
     * @param in standard input
     * @param out receives the result
     * @param err receives the text of failures
     * @return the exit code
     */
    public static ExitCode run(
            String[] args,
            Map<String, String> environment,
            InputStream in,
            PrintStream out,
            PrintStream err) {
        return new CommandRunner(environment, in, out, err).run(args);
    }
}
