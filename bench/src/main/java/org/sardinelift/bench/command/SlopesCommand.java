package org.sardinelift.bench.command;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.sardinelift.bench.report.Output;
import org.sardinelift.bench.slope.Slopes;
import org.sardinelift.http.HttpClient;

/** Measures how state, time and message sizes grow with the fleet, within this process. */
public final class SlopesCommand extends Command {

    /** Creates the command. */
    public SlopesCommand() {
        super("slopes", "state, time and bytes against the size of the fleet");
    }

    @Override
    Options options() {
        return new Options();
    }

    @Override
    Output run(CommandLine line, HttpClient client) {
        return Slopes.measure();
    }
}
