package org.sardinelift.bench.command;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.sardinelift.bench.model.ModelTable;
import org.sardinelift.bench.report.Output;
import org.sardinelift.http.HttpClient;

/** What callers get from each way of placing calls, in a model in virtual time. */
public final class ModelCommand extends Command {

    /** Makes the command. */
    public ModelCommand() {
        super("model", "what callers get by each policy, in virtual time");
    }

    @Override
    Options options() {
        return new Options();
    }

    @Override
    Output run(CommandLine line, HttpClient client) {
        return ModelTable.play(number(line, "seed", 1));
    }
}
