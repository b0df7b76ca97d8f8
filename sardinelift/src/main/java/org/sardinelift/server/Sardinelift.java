package org.sardinelift.server;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.sardinelift.settings.SettingsFile;
import org.sardinelift.settings.SettingsResult;
import org.tinylog.Logger;

/** Main class of the server binary. */
public final class Sardinelift {
    private static final String SYNTAX = "java -jar sardinelift.jar --settings FILE";

    private final PrintStream out;
    private final PrintStream err;

    private Sardinelift(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /**
     * Runs one instance until it is stopped by SIGTERM, SIGINT or an operator's drain request.
     *
     * @param args command line arguments, see {@code --help}
     */
    public static void main(String[] args) {
        ReloadSignal.install();
        ExitCode code = new Sardinelift(System.out, System.err).run(args);
        System.exit(code.code());
    }

    static ExitCode run(PrintStream out, PrintStream err, String... args) {
        return new Sardinelift(out, err).run(args);
    }

    private ExitCode run(String... args) {
        Options options = options();
        CommandLine commandLine;
        try {
            commandLine = new DefaultParser().parse(options, args);
        } catch (ParseException e) {
            err.println(e.getMessage() + ". See --help.");
            return ExitCode.USAGE;
        }
        if (commandLine.hasOption("help")) {
            return help(options);
        }
        if (commandLine.hasOption("version")) {
            out.println("sardinelift " + version());
            return ExitCode.OK;
        }
        if (!commandLine.hasOption("settings")) {
            err.println("--settings FILE is missing. See --help.");
            return ExitCode.USAGE;
        }
        return load(
                Path.of(commandLine.getOptionValue("settings")),
                commandLine.hasOption("check-settings"));
    }

    private ExitCode load(Path file, boolean checkOnly) {
        SettingsResult<ServerSettings> result = SettingsFile.load(file, ServerSettings::read);
        if (result instanceof SettingsResult.Valid<ServerSettings> valid) {
            return checkOnly ? reportValid(file) : serve(file, valid.settings());
        }
        return refuse(file, (SettingsResult.Invalid<ServerSettings>) result);
    }

    private static Options options() {
        return new Options()
                .addOption(
                        Option.builder("s")
                                .longOpt("settings")
                                .hasArg()
                                .argName("FILE")
                                .desc("settings of this instance, JSON with comments")
                                .get())
                .addOption(null, "check-settings", false, "check the settings, start nothing")
                .addOption("h", "help", false, "print this help")
                .addOption("v", "version", false, "print the version");
    }

    private ExitCode help(Options options) {
        try {
            HelpFormatter.builder()
                    .setHelpAppendable(new org.apache.commons.cli.help.TextHelpAppendable(out))
                    .setShowSince(false)
                    .get()
                    .printHelp(
                            SYNTAX,
                            "Runs one instance of sardinelift; its role comes from the settings.",
                            options,
                            "Exit codes: 143 stopped by SIGTERM after a drain, "
                                    + "0 drained as requested over HTTP or nothing to run, "
                                    + "2 command line, 3 settings, 4 a port or file.",
                            false);
        } catch (java.io.IOException e) {
            return ExitCode.CANNOT_START;
        }
        return ExitCode.OK;
    }

    private ExitCode reportValid(Path file) {
        out.println(file + ": the settings are valid");
        return ExitCode.OK;
    }

    private ExitCode refuse(Path file, SettingsResult.Invalid<ServerSettings> invalid) {
        invalid.errors().forEach(error -> err.println(file + ": " + error));
        return ExitCode.BAD_SETTINGS;
    }

    private ExitCode serve(Path file, ServerSettings settings) {
        try {
            ReloadSignal.setFileInUse(file);
            Role.Instance instance = settings.starter().start();
            AtomicBoolean stopped = new AtomicBoolean();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(instance, stopped)));
            out.println(instance.readyLine());
            out.flush();
            instance.drainRequested().join();
            stop(instance, stopped);
            return ExitCode.OK;
        } catch (Exception e) {
            err.println("The instance can't start: " + e.getMessage());
            return ExitCode.CANNOT_START;
        }
    }

    /** Drains and stops the instance once; a second call waits for the first. */
    private static void stop(Role.Instance instance, AtomicBoolean stopped) {
        synchronized (stopped) {
            if (stopped.getAndSet(true)) {
                return;
            }
            Logger.info("Stop requested; draining");
            try {
                instance.drain().run();
                instance.resources().close();
                Logger.info("Drained");
            } catch (Exception e) {
                Logger.error(
                        e, "The drain failed; the instance stops and aborts its remaining work");
            }
        }
    }

    private static String version() {
        String version = Sardinelift.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }
}
