package org.sardinelift.ctl.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.order.OrderAction;
import org.sardinelift.core.order.RolloutGoal;
import org.sardinelift.core.order.RolloutSpec;
import org.sardinelift.core.order.RolloutState;
import org.sardinelift.core.order.StepState;
import org.sardinelift.ctl.Json;
import org.sardinelift.ctl.Outcome;
import org.sardinelift.ctl.TextTable;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.objects.kinds.DecodeResult;
import org.sardinelift.objects.kinds.RolloutCodec;

/** Shows how far roll-outs are, and why they went back. */
public final class RolloutStatusCommand extends Command {

    /** Makes the command. */
    public RolloutStatusCommand() {
        super("rollout status", "[NAME]", "show how far roll-outs are, and why they went back");
    }

    @Override
    public Options options() {
        return CommonOptions.platform();
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        List<String> names = context.line().getArgList();
        ObjectStore store = context.platform();
        ListResult specs = store.list(RolloutCodec.SPEC_KIND, "").join();
        ListResult states = store.list(RolloutCodec.STATUS_KIND, "").join();
        if (specs instanceof ListResult.Unavailable unavailable) {
            return StoreOutcomes.unavailable(unavailable.reason());
        }
        if (states instanceof ListResult.Unavailable unavailable) {
            return StoreOutcomes.unavailable(unavailable.reason());
        }
        Map<String, StoredObject> decided = byName(states);
        ArrayNode list = Json.array();
        TextTable table =
                TextTable.of("ROLL-OUT", "WANTED", "PHASE", "MOVED", "OPEN", "REASON", "TROUBLE");
        byName(specs)
                .forEach(
                        (name, object) -> {
                            if (names.isEmpty() || names.contains(name)) {
                                ObjectNode node = describe(object, decided.get(name));
                                list.add(node);
                                table.row(cells(node));
                            }
                        });
        ObjectNode json = Json.object();
        json.set("rollouts", list);
        return Outcome.ok(json, table.toString());
    }

    private static Map<String, StoredObject> byName(ListResult result) {
        return ((ListResult.Listed) result)
                .objects().stream()
                        .collect(
                                Collectors.toMap(
                                        object -> object.key().name(),
                                        Function.identity(),
                                        (left, right) -> right,
                                        TreeMap::new));
    }

    private static ObjectNode describe(StoredObject wanted, @Nullable StoredObject decided) {
        String name = wanted.key().name();
        ObjectNode node = Json.object().put("name", name);
        Optional<RolloutSpec> spec =
                sound(RolloutCodec.decodeSpec(name, wanted.revision(), wanted.value()));
        Optional<RolloutState> state =
                Optional.ofNullable(decided)
                        .flatMap(object -> sound(RolloutCodec.decodeState(name, object.value())));
        spec.ifPresent(known -> node.put("wanted", text(known)).put("stopped", known.isStopped()));
        Optional<RolloutState> own =
                state.filter(
                        known ->
                                spec.filter(one -> one.id().equals(known.spec().id())).isPresent());
        node.put("phase", own.map(known -> known.phase().name()).orElse("WAITING"));
        own.ifPresent(
                known -> {
                    node.put("fence", known.fence());
                    node.put("reason", known.rollbackReason()).put("trouble", known.problem());
                    ObjectNode steps = node.putObject("steps");
                    Arrays.stream(StepState.values())
                            .forEach(at -> steps.put(at.name(), count(known, at)));
                    ObjectNode targets = node.putObject("targets");
                    known.steps()
                            .forEach((target, step) -> targets.put(target, step.state().name()));
                });
        return node;
    }

    private static String text(RolloutSpec spec) {
        RolloutGoal goal = spec.goal();
        return goal.action() == OrderAction.ROLE
                ? spec.service() + " role " + goal.wanted()
                : spec.service() + " " + goal.model() + " " + goal.wanted();
    }

    private static long count(RolloutState state, StepState at) {
        return state.steps().values().stream().filter(step -> step.state() == at).count();
    }

    private static <T> Optional<T> sound(DecodeResult<T> result) {
        return result instanceof DecodeResult.Valid<T> sound
                ? Optional.of(sound.item())
                : Optional.empty();
    }

    private static String[] cells(ObjectNode node) {
        long open =
                Arrays.stream(StepState.values())
                        .filter(at -> !at.mayServe())
                        .mapToLong(at -> node.at("/steps/" + at.name()).asLong())
                        .sum();
        return new String[] {
            node.path("name").asText(),
            node.path("wanted").asText(),
            node.path("phase").asText(),
            node.at("/steps/" + StepState.MOVED.name()).asText("0"),
            String.valueOf(open),
            node.path("reason").asText(),
            node.path("trouble").asText()
        };
    }
}
