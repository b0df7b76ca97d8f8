package org.sardinelift.bench.command;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.sardinelift.bench.model.ModelTable;
import org.sardinelift.bench.report.Output;
import org.sardinelift.http.HttpClient;

/** Simulates each policy of choosing targets in virtual time and compares what callers get. */
public final class ModelCommand extends Command {

    /** Creates the command. */
    public ModelCommand() {
        super("model", "what callers get by each policy, in virtual time");
    }

    @Override
    Options options() {
        return new Options();
    }

    @Override
    Output run(CommandLine line, HttpClient client) {
        return ModelTable.simulate(intOption(line, "seed", 1));
    }
}
