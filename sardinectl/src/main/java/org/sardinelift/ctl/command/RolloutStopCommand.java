package org.sardinelift.ctl.command;

import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.core.order.RolloutSpec;
import org.sardinelift.ctl.ExitCode;
import org.sardinelift.ctl.Outcome;

/** Stops a roll-out; the targets already moved go back. */
public final class RolloutStopCommand extends Command {

    /** Makes the command. */
    public RolloutStopCommand() {
        super("rollout stop", "NAME", "stop a roll-out; targets already moved go back");
    }

    @Override
    public Options options() {
        return CommonOptions.platform();
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        String name = context.argument(0, "NAME");
        RolloutObjects objects = RolloutObjects.of(context.platform(), name);
        RolloutObjects.Reading<RolloutSpec> reading = objects.spec();
        if (reading instanceof RolloutObjects.Reading.Failed<RolloutSpec> failed) {
            return failed.outcome();
        }
        RolloutObjects.Reading.Read<RolloutSpec> read =
                (RolloutObjects.Reading.Read<RolloutSpec>) reading;
        if (read.value().isEmpty()) {
            return Outcome.failed(
                    ExitCode.REFUSED,
                    "There is no roll-out " + name,
                    "List the names with rollout status.");
        }
        RolloutSpec held = read.value().get();
        return objects.write(
                new RolloutSpec(
                        name,
                        held.id(),
                        0,
                        held.service(),
                        held.goal(),
                        held.minServingFraction(),
                        true),
                read.version(),
                "stopped");
    }
}
