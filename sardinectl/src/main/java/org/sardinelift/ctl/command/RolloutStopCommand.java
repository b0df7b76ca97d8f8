package org.sardinelift.ctl.command;

import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.core.order.RolloutSpec;
import org.sardinelift.ctl.ExitCode;
import org.sardinelift.ctl.Outcome;

/** Stops a roll-out; targets that were already changed are rolled back. */
public final class RolloutStopCommand extends Command {

    /** Creates the command. */
    public RolloutStopCommand() {
        super("rollout stop", "NAME", "stop a roll-out; targets already changed are rolled back");
    }

    @Override
    public Options options() {
        return CommonOptions.platform();
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        String name = context.argument(0, "NAME");
        RolloutObjects objects = RolloutObjects.of(context.objectStore(), name);
        RolloutObjects.ReadOutcome<RolloutSpec> result = objects.readSpec();
        if (result instanceof RolloutObjects.ReadOutcome.Failed<RolloutSpec> failed) {
            return failed.outcome();
        }
        RolloutObjects.ReadOutcome.Read<RolloutSpec> read =
                (RolloutObjects.ReadOutcome.Read<RolloutSpec>) result;
        if (read.value().isEmpty()) {
            return Outcome.failed(
                    ExitCode.REFUSED,
                    "There is no roll-out " + name,
                    "List the names with rollout status.");
        }
        RolloutSpec spec = read.value().get();
        return objects.writeSpec(
                new RolloutSpec(
                        name,
                        spec.id(),
                        0,
                        spec.service(),
                        spec.goal(),
                        spec.minServingFraction(),
                        true),
                read.version(),
                "stopped");
    }
}
