package org.sardinelift.ctl.command;

import java.util.Optional;
import java.util.UUID;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.core.catalog.ConfigItem;
import org.sardinelift.core.catalog.ConfigKind;
import org.sardinelift.core.catalog.ConfigRef;
import org.sardinelift.core.catalog.ServiceSpec;
import org.sardinelift.core.order.OrderAction;
import org.sardinelift.core.order.RolloutGoal;
import org.sardinelift.core.order.RolloutSpec;
import org.sardinelift.core.order.RolloutState;
import org.sardinelift.ctl.ExitCode;
import org.sardinelift.ctl.Outcome;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.kinds.ConfigCodec;
import org.sardinelift.objects.kinds.DecodeResult;

/** Starts a roll-out of a model version or a role to all targets of a service. */
public final class RolloutStartCommand extends Command {
    private static final String MODEL = "model";
    private static final String MODEL_VERSION = "model-version";
    private static final String ROLE = "role";
    private static final String LEAST_SERVING = "least-serving";
    private static final String DEFAULT_LEAST_SERVING = "0.5";

    /** Creates the command. */
    public RolloutStartCommand() {
        super(
                "rollout start",
                "SERVICE",
                "roll out a model version or a role to every target of a service");
    }

    @Override
    public Options options() {
        return CommonOptions.platform()
                .addOption(longOption(MODEL, "MODEL", "model or adapter"))
                .addOption(longOption(MODEL_VERSION, "VERSION", "version to roll out"))
                .addOption(longOption(ROLE, "ROLE", "role to roll out, instead of a version"))
                .addOption(
                        longOption(
                                LEAST_SERVING,
                                "FRACTION",
                                "smallest fraction of the targets that keep serving, default "
                                        + DEFAULT_LEAST_SERVING));
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        String service = context.argument(0, "SERVICE");
        RolloutGoal goal = goal(context);
        double minServingFraction = minServingFraction(context);
        ObjectStore store = context.objectStore();
        Optional<Outcome> error = check(store, service, goal);
        if (error.isPresent()) {
            return error.get();
        }
        String name = rolloutName(service, goal);
        RolloutObjects objects = RolloutObjects.of(store, name);
        RolloutObjects.ReadOutcome<RolloutSpec> spec = objects.readSpec();
        RolloutObjects.ReadOutcome<RolloutState> state = objects.readState();
        if (spec instanceof RolloutObjects.ReadOutcome.Failed<RolloutSpec> failed) {
            return failed.outcome();
        }
        if (state instanceof RolloutObjects.ReadOutcome.Failed<RolloutState> failed) {
            return failed.outcome();
        }
        RolloutObjects.ReadOutcome.Read<RolloutSpec> read =
                (RolloutObjects.ReadOutcome.Read<RolloutSpec>) spec;
        if (isRunning(
                read.value(), ((RolloutObjects.ReadOutcome.Read<RolloutState>) state).value())) {
            return Outcome.failed(
                    ExitCode.REFUSED,
                    "The roll-out " + name + " has not ended",
                    "Wait until rollout status shows its end, or end it with rollout stop.");
        }
        String id = UUID.randomUUID().toString();
        return objects.writeSpec(
                new RolloutSpec(name, id, 0, service, goal, minServingFraction, false),
                read.version(),
                "started");
    }

    /**
     * Returns the name of the roll-out of a goal. There is one roll-out at a time for each service
     * and model.
     */
    static String rolloutName(String service, RolloutGoal goal) {
        return goal.action() == OrderAction.ROLE ? service : service + "/" + goal.model();
    }

    private static boolean isRunning(Optional<RolloutSpec> spec, Optional<RolloutState> state) {
        if (spec.isEmpty()) {
            return false;
        }
        boolean isStateOfSpec =
                state.filter(known -> known.spec().id().equals(spec.get().id())).isPresent();
        return isStateOfSpec ? !state.get().phase().isTerminal() : !spec.get().isStopped();
    }

    private static RolloutGoal goal(CommandContext context) throws ParseException {
        boolean role = context.line().hasOption(ROLE);
        if (role && (context.line().hasOption(MODEL) || context.line().hasOption(MODEL_VERSION))) {
            throw new ParseException("--role can't be combined with --model or --model-version");
        }
        return role
                ? RolloutGoal.role(context.requiredOption(ROLE))
                : RolloutGoal.version(
                        context.requiredOption(MODEL), context.requiredOption(MODEL_VERSION));
    }

    private static double minServingFraction(CommandContext context) throws ParseException {
        String text = context.line().getOptionValue(LEAST_SERVING, DEFAULT_LEAST_SERVING);
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new ParseException("--least-serving: expected 0 to 1, found " + text);
        }
    }

    private static Optional<Outcome> check(ObjectStore store, String service, RolloutGoal goal) {
        ReadResult read = store.read(new ObjectKey(ConfigKind.SERVICE.label(), service)).join();
        if (read instanceof ReadResult.Unavailable unavailable) {
            return Optional.of(StoreOutcomes.unavailable(unavailable.reason()));
        }
        if (!(read instanceof ReadResult.Found found)) {
            return Optional.of(
                    RolloutObjects.invalid(
                            "rollout/service",
                            "the name of a service",
                            service,
                            "List the services with get service, or apply this one first."));
        }
        DecodeResult<ConfigItem> item =
                ConfigCodec.decode(
                        new ConfigRef(ConfigKind.SERVICE, service), found.object().value());
        if (!(item instanceof DecodeResult.Valid<ConfigItem> valid)) {
            return Optional.of(
                    StoreOutcomes.invalid(((DecodeResult.Invalid<ConfigItem>) item).problems()));
        }
        ServiceSpec spec = (ServiceSpec) valid.item();
        if (!spec.isEngine()) {
            return Optional.of(
                    RolloutObjects.invalid(
                            "rollout/service",
                            "a service of model engines",
                            service,
                            "Plain services accept no orders; name a service of model engines."));
        }
        return goal.action() == OrderAction.ROLE || spec.models().contains(goal.model())
                ? Optional.empty()
                : Optional.of(
                        RolloutObjects.invalid(
                                "rollout/model",
                                "one of " + spec.models(),
                                goal.model(),
                                "Add it to the service's models first, or name another model."));
    }
}
