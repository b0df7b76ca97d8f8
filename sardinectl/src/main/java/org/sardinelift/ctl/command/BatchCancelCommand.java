package org.sardinelift.ctl.command;

import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.ctl.Outcome;

/** Cancels a job; results completed before stay readable. */
public final class BatchCancelCommand extends Command {

    /** Creates the command. */
    public BatchCancelCommand() {
        super("batch cancel", "JOB", "cancel a job; completed results stay readable");
    }

    @Override
    public Options options() {
        return CommonOptions.caller();
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        String job = EntryCalls.urlEncode(context.argument(0, "JOB"));
        return EntryCalls.call(
                context,
                context.entryAddress(),
                "POST",
                "/v1/batches/" + job + "/cancel",
                context.authorizationHeader(),
                "");
    }
}
