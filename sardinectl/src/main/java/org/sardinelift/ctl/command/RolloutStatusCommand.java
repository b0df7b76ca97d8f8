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

/** Shows the progress of roll-outs, and why they were rolled back. */
public final class RolloutStatusCommand extends Command {

    /** Creates the command. */
    public RolloutStatusCommand() {
        super(
                "rollout status",
                "[NAME]",
                "show the progress of roll-outs, and why they were rolled back");
    }

    @Override
    public Options options() {
        return CommonOptions.platform();
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        List<String> names = context.line().getArgList();
        ObjectStore store = context.objectStore();
        ListResult specs = store.list(RolloutCodec.SPEC_KIND, "").join();
        ListResult states = store.list(RolloutCodec.STATUS_KIND, "").join();
        if (specs instanceof ListResult.Unavailable unavailable) {
            return StoreOutcomes.unavailable(unavailable.reason());
        }
        if (states instanceof ListResult.Unavailable unavailable) {
            return StoreOutcomes.unavailable(unavailable.reason());
        }
        Map<String, StoredObject> storedStates = byName(states);
        ArrayNode list = Json.newArray();
        TextTable table =
                TextTable.withColumns(
                        "ROLL-OUT", "WANTED", "PHASE", "MOVED", "OPEN", "REASON", "TROUBLE");
        byName(specs)
                .forEach(
                        (name, object) -> {
                            if (names.isEmpty() || names.contains(name)) {
                                ObjectNode node = describe(object, storedStates.get(name));
                                list.add(node);
                                table.addRow(cells(node));
                            }
                        });
        ObjectNode json = Json.newObject();
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

    private static ObjectNode describe(
            StoredObject storedSpec, @Nullable StoredObject storedState) {
        String name = storedSpec.key().name();
        ObjectNode node = Json.newObject().put("name", name);
        Optional<RolloutSpec> spec =
                validItem(RolloutCodec.decodeSpec(name, storedSpec.revision(), storedSpec.value()));
        Optional<RolloutState> state =
                Optional.ofNullable(storedState)
                        .flatMap(
                                object ->
                                        validItem(RolloutCodec.decodeState(name, object.value())));
        spec.ifPresent(
                known -> node.put("wanted", describeGoal(known)).put("stopped", known.isStopped()));
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
                            .forEach(
                                    stepState ->
                                            steps.put(
                                                    stepState.name(),
                                                    countSteps(known, stepState)));
                    ObjectNode targets = node.putObject("targets");
                    known.steps()
                            .forEach((target, step) -> targets.put(target, step.state().name()));
                });
        return node;
    }

    private static String describeGoal(RolloutSpec spec) {
        RolloutGoal goal = spec.goal();
        return goal.action() == OrderAction.ROLE
                ? spec.service() + " role " + goal.wanted()
                : spec.service() + " " + goal.model() + " " + goal.wanted();
    }

    private static long countSteps(RolloutState state, StepState stepState) {
        return state.steps().values().stream().filter(step -> step.state() == stepState).count();
    }

    private static <T> Optional<T> validItem(DecodeResult<T> result) {
        return result instanceof DecodeResult.Valid<T> valid
                ? Optional.of(valid.item())
                : Optional.empty();
    }

    private static String[] cells(ObjectNode node) {
        long open =
                Arrays.stream(StepState.values())
                        .filter(stepState -> !stepState.mayServe())
                        .mapToLong(stepState -> node.at("/steps/" + stepState.name()).asLong())
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
