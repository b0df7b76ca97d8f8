package org.sardinelift.ctl.command;

import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.ctl.Outcome;

/** Shows the zones whose evacuation is requested. */
public final class EvacuationsListCommand extends Command {

    /** Creates the command. */
    public EvacuationsListCommand() {
        super("evacuations list", "", "show the zones whose evacuation is requested");
    }

    @Override
    public Options options() {
        return CommonOptions.store();
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        return EvacuationObjects.open(context).list();
    }
}
