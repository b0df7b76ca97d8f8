package org.sardinelift.ctl.command;

import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.ctl.Outcome;

/** Shows the progress of a job. */
public final class BatchStatusCommand extends Command {

    /** Creates the command. */
    public BatchStatusCommand() {
        super("batch status", "JOB", "show the progress of a job");
    }

    @Override
    public Options options() {
        return CommonOptions.caller();
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        String uri = "/v1/batches/" + EntryCalls.urlEncode(context.argument(0, "JOB"));
        return EntryCalls.call(
                context, context.entryAddress(), "GET", uri, context.authorizationHeader(), "");
    }
}
