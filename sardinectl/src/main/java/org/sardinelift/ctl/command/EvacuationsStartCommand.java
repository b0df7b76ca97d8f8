package org.sardinelift.ctl.command;

import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.ctl.Outcome;

/** Requests the evacuation of an availability zone. */
public final class EvacuationsStartCommand extends Command {

    /** Creates the command. */
    public EvacuationsStartCommand() {
        super(
                "evacuations start",
                "ZONE",
                "have nothing more sent to the targets of an availability zone");
    }

    @Override
    public Options options() {
        return CommonOptions.store();
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        String zone = context.argument(0, "ZONE");
        return EvacuationObjects.open(context).start(zone);
    }
}
