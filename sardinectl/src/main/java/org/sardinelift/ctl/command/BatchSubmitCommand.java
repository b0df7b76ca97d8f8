package org.sardinelift.ctl.command;

import java.util.HashMap;
import java.util.Map;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.ctl.Outcome;

/** Submits a job; submitting the same content under the same job key again gives the same job. */
public final class BatchSubmitCommand extends Command {

    /** Creates the command. */
    public BatchSubmitCommand() {
        super("batch submit", "FILE", "submit a job from JSON lines, - for standard input");
    }

    @Override
    public Options options() {
        return CommonOptions.caller()
                .addOption(longOption("job-key", "KEY", "your own name of the job, required"))
                .addOption(longOption("due", "TIME", "when it is due, RFC 3339"));
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        Map<String, String> headers = new HashMap<>(context.authorizationHeader());
        headers.put("content-type", "application/jsonl");
        headers.put("Job-Key", context.requiredOption("job-key"));
        String due = context.line().getOptionValue("due");
        if (due != null) {
            headers.put("Due", due);
        }
        String body = context.readText(context.argument(0, "FILE"));
        return EntryCalls.call(
                context, context.entryAddress(), "POST", "/v1/batches", headers, body);
    }
}
