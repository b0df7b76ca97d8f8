package org.sardinelift.objects.kinds;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import org.sardinelift.core.batch.Holder;
import org.sardinelift.core.catalog.ConfigProblem;
import org.sardinelift.core.order.LeaseRecord;
import org.sardinelift.core.order.OrderAction;
import org.sardinelift.core.order.RolloutGoal;
import org.sardinelift.core.order.RolloutPhase;
import org.sardinelift.core.order.RolloutSpec;
import org.sardinelift.core.order.RolloutState;
import org.sardinelift.core.order.RolloutStep;
import org.sardinelift.core.order.StepState;
import org.sardinelift.settings.SettingsFile;
import org.sardinelift.settings.SettingsNode;
import org.sardinelift.settings.SettingsResult;

/**
 * Decodes and encodes the stored objects of roll-outs as JSON. {@code sardinectl} and the instances
 * use the same checks; an unknown field is an error.
 */
public final class RolloutCodec {
    /** Kind of the object with the state that an operator wants. */
    public static final String SPEC_KIND = "rollout";

    /** Kind of the object with the state that the controller has decided. */
    public static final String STATUS_KIND = "rollout-status";

    /** Kind of the object with the controller's lease. */
    public static final String LEASE_KIND = "rollout-lease";

    /** Name of the only object of {@link #LEASE_KIND}. */
    public static final String LEASE_NAME = "controller";

    private static final double DEFAULT_LEAST_SERVING = 0.5;
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private RolloutCodec() {}

    /**
     * Decodes the state that an operator wants.
     *
     * @param name name of the object
     * @param revision store revision of the object
     * @param json value of the object
     * @return the wanted state, or every problem found
     */
    public static DecodeResult<RolloutSpec> decodeSpec(String name, long revision, String json) {
        return parse(SPEC_KIND + "/" + name, json, node -> spec(name, revision, node));
    }

    /**
     * Encodes the state that an operator wants.
     *
     * @param spec the wanted state
     * @return one line of JSON
     */
    public static String encodeSpec(RolloutSpec spec) {
        return specNode(spec).toString();
    }

    /**
     * Decodes the state that the controller has decided.
     *
     * @param name name of the object
     * @param json value of the object
     * @return the state, or every problem found
     */
    public static DecodeResult<RolloutState> decodeState(String name, String json) {
        return parse(STATUS_KIND + "/" + name, json, node -> state(name, node));
    }

    /**
     * Encodes the state that the controller has decided.
     *
     * @param state the state
     * @return one line of JSON
     */
    public static String encodeState(RolloutState state) {
        ObjectNode node = MAPPER.createObjectNode();
        node.set("spec", specNode(state.spec()));
        node.put("revision", String.valueOf(state.spec().revision()));
        node.put("fence", String.valueOf(state.fence()));
        node.put("phase", state.phase().name());
        text(node, "reason", state.rollbackReason());
        text(node, "trouble", state.problem());
        ArrayNode steps = node.putArray("steps");
        state.steps()
                .forEach(
                        (target, step) -> {
                            ObjectNode one = steps.addObject().put("target", target);
                            text(one, "previous", step.previousValue());
                            one.put("state", step.state().name());
                        });
        return node.toString();
    }

    /**
     * Decodes the controller's lease.
     *
     * @param json value of the object
     * @return the lease, or every problem found
     */
    public static DecodeResult<LeaseRecord> decodeLease(String json) {
        return parse(
                LEASE_KIND + "/" + LEASE_NAME,
                json,
                node ->
                        new LeaseRecord(
                                new Holder(node.text("instance", ""), node.text("incarnation", "")),
                                number(node, "fence"),
                                number(node, "renewals")));
    }

    /**
     * Encodes the controller's lease.
     *
     * @param lease the lease
     * @return one line of JSON
     */
    public static String encodeLease(LeaseRecord lease) {
        ObjectNode node = MAPPER.createObjectNode();
        text(node, "instance", lease.holder().instance());
        text(node, "incarnation", lease.holder().incarnation());
        node.put("fence", String.valueOf(lease.fence()));
        return node.put("renewals", String.valueOf(lease.renewals())).toString();
    }

    private static RolloutSpec spec(String name, long revision, SettingsNode node) {
        String action = node.choice("action", OrderAction.LOAD.label(), OrderAction.ROLE.label());
        RolloutGoal goal =
                action.equals(OrderAction.ROLE.label())
                        ? RolloutGoal.role(node.text("role"))
                        : RolloutGoal.version(node.text("model"), node.text("version"));
        return new RolloutSpec(
                name,
                node.text("id"),
                revision,
                node.text("service"),
                goal,
                node.number("leastServing", DEFAULT_LEAST_SERVING, 0, 1),
                node.flag("stopped", false));
    }

    private static ObjectNode specNode(RolloutSpec spec) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("id", spec.id()).put("service", spec.service());
        node.put("action", spec.goal().action().label());
        if (spec.goal().action() == OrderAction.ROLE) {
            node.put("role", spec.goal().wanted());
        } else {
            node.put("model", spec.goal().model()).put("version", spec.goal().wanted());
        }
        return node.put("leastServing", spec.minServingFraction()).put("stopped", spec.isStopped());
    }

    private static RolloutState state(String name, SettingsNode node) {
        long revision = number(node, "revision");
        SortedMap<String, RolloutStep> steps = new TreeMap<>();
        node.objects("steps", RolloutCodec::step)
                .forEach(named -> steps.put(named.target(), named.step()));
        return new RolloutState(
                spec(name, revision, node.object("spec")),
                number(node, "fence"),
                RolloutPhase.valueOf(node.choice("phase", names(RolloutPhase.values()))),
                node.text("reason", ""),
                node.text("trouble", ""),
                steps);
    }

    private record NamedStep(String target, RolloutStep step) {}

    private static NamedStep step(SettingsNode node) {
        return new NamedStep(
                node.text("target"),
                new RolloutStep(
                        node.text("previous", ""),
                        StepState.valueOf(node.choice("state", names(StepState.values())))));
    }

    private static String[] names(Enum<?>[] values) {
        return Arrays.stream(values).map(Enum::name).toArray(String[]::new);
    }

    /**
     * Parses a 64-bit number, stored as a string since JSON numbers may lose precision elsewhere.
     */
    private static long number(SettingsNode node, String field) {
        String text = node.text(field);
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            node.addError(field, "an integer as a string", text, "Delete the object.");
            return 0;
        }
    }

    private static void text(ObjectNode node, String field, String value) {
        if (!value.isEmpty()) {
            node.put(field, value);
        }
    }

    private static <T> DecodeResult<T> parse(
            String objectPath, String json, Function<SettingsNode, T> reader) {
        SettingsResult<T> result = SettingsFile.parse(json, reader);
        if (result instanceof SettingsResult.Invalid<T> invalid) {
            List<ConfigProblem> problems =
                    invalid.errors().stream()
                            .map(
                                    error ->
                                            new ConfigProblem(
                                                    objectPath + error.path(),
                                                    error.expected(),
                                                    error.found(),
                                                    error.remedy()))
                            .toList();
            return new DecodeResult.Invalid<>(problems);
        }
        return new DecodeResult.Valid<>(((SettingsResult.Valid<T>) result).settings());
    }
}
