package org.sardinelift.ctl.command;

import java.util.stream.Collectors;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.ctl.Outcome;

/** Drains instances: they accept no new work and exit when the running work is complete. */
public final class DrainCommand extends Command {

    /** Creates the command. */
    public DrainCommand() {
        super(
                "drain",
                "",
                "drain the entries at --operators: no new work, running work is completed");
    }

    @Override
    public Options options() {
        return CommonOptions.operators();
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        FleetResponses responses = FleetResponses.callAll(context, "POST", "/drain");
        String text =
                responses.answers().keySet().stream()
                        .map(address -> address + " is draining")
                        .collect(Collectors.joining("\n"));
        return responses.toOutcome(responses.toJson(), text);
    }
}
