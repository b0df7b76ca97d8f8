package org.sardinelift.ctl.command;

import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.ctl.Outcome;

/** Withdraws the request to evacuate a zone. */
public final class EvacuationsEndCommand extends Command {

    /** Creates the command. */
    public EvacuationsEndCommand() {
        super("evacuations end", "ZONE", "have the targets of an evacuated zone used again");
    }

    @Override
    public Options options() {
        return CommonOptions.store();
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        String zone = context.argument(0, "ZONE");
        return EvacuationObjects.open(context).end(zone);
    }
}
