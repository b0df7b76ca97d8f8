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

/** Starts a roll-out: writes what every target of a service is to hold. */
public final class RolloutStartCommand extends Command {
    private static final String MODEL = "model";
    private static final String VERSION = "model-version";
    private static final String ROLE = "role";
    private static final String LEAST = "least-serving";
    private static final String DEFAULT_LEAST = "0.5";

    /** Makes the command. */
    public RolloutStartCommand() {
        super(
                "rollout start",
                "SERVICE",
                "bring a model's version or a role to every target of a service");
    }

    @Override
    public Options options() {
        return CommonOptions.platform()
                .addOption(valued(MODEL, "MODEL", "model or adapter"))
                .addOption(valued(VERSION, "VERSION", "version of it that is wanted"))
                .addOption(valued(ROLE, "ROLE", "role that is wanted, instead of a version"))
                .addOption(
                        valued(
                                LEAST,
                                "FRACTION",
                                "least part of the targets that go on serving, default "
                                        + DEFAULT_LEAST));
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        String service = context.argument(0, "SERVICE");
        RolloutGoal goal = goal(context);
        double least = least(context);
        ObjectStore store = context.platform();
        Optional<Outcome> wrong = check(store, service, goal);
        if (wrong.isPresent()) {
            return wrong.get();
        }
        String name = name(service, goal);
        RolloutObjects objects = RolloutObjects.of(store, name);
        RolloutObjects.Reading<RolloutSpec> spec = objects.spec();
        RolloutObjects.Reading<RolloutState> state = objects.state();
        if (spec instanceof RolloutObjects.Reading.Failed<RolloutSpec> failed) {
            return failed.outcome();
        }
        if (state instanceof RolloutObjects.Reading.Failed<RolloutState> failed) {
            return failed.outcome();
        }
        RolloutObjects.Reading.Read<RolloutSpec> known =
                (RolloutObjects.Reading.Read<RolloutSpec>) spec;
        if (running(known.value(), ((RolloutObjects.Reading.Read<RolloutState>) state).value())) {
            return Outcome.failed(
                    ExitCode.REFUSED,
                    "The roll-out " + name + " has not ended",
                    "Wait for its end in rollout status, or end it with rollout stop.");
        }
        String id = UUID.randomUUID().toString();
        return objects.write(
                new RolloutSpec(name, id, 0, service, goal, least, false),
                known.version(),
                "started");
    }

    /** The name under which a goal's roll-out is kept: one at a time for each service and model. */
    static String name(String service, RolloutGoal goal) {
        return goal.action() == OrderAction.ROLE ? service : service + "/" + goal.model();
    }

    private static boolean running(Optional<RolloutSpec> spec, Optional<RolloutState> state) {
        if (spec.isEmpty()) {
            return false;
        }
        boolean taken =
                state.filter(known -> known.spec().id().equals(spec.get().id())).isPresent();
        return taken ? !state.get().phase().isTerminal() : !spec.get().isStopped();
    }

    private static RolloutGoal goal(CommandContext context) throws ParseException {
        boolean role = context.line().hasOption(ROLE);
        if (role && (context.line().hasOption(MODEL) || context.line().hasOption(VERSION))) {
            throw new ParseException("--role goes without --model and --model-version");
        }
        return role
                ? RolloutGoal.role(context.required(ROLE))
                : RolloutGoal.version(context.required(MODEL), context.required(VERSION));
    }

    private static double least(CommandContext context) throws ParseException {
        String text = context.line().getOptionValue(LEAST, DEFAULT_LEAST);
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
                            "List them with get service, or apply it first."));
        }
        DecodeResult<ConfigItem> item =
                ConfigCodec.decode(
                        new ConfigRef(ConfigKind.SERVICE, service), found.object().value());
        if (!(item instanceof DecodeResult.Valid<ConfigItem> sound)) {
            return Optional.of(
                    StoreOutcomes.invalid(((DecodeResult.Invalid<ConfigItem>) item).problems()));
        }
        ServiceSpec spec = (ServiceSpec) sound.item();
        if (!spec.isEngine()) {
            return Optional.of(
                    RolloutObjects.invalid(
                            "rollout/service",
                            "a service of model engines",
                            service,
                            "Plain services take no orders; name another."));
        }
        return goal.action() == OrderAction.ROLE || spec.models().contains(goal.model())
                ? Optional.empty()
                : Optional.of(
                        RolloutObjects.invalid(
                                "rollout/model",
                                "one of " + spec.models(),
                                goal.model(),
                                "Add it to the service's models first, or name another."));
    }
}
