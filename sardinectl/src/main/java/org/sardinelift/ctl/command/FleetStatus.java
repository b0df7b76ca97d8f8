package org.sardinelift.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.sardinelift.ctl.Json;

/**
 * State of the fleet, merged from the answers of the entries.
 *
 * @param instances the entries
 * @param targets the targets; those that some entry does not use come first
 * @param teams the active teams, by request rate, highest first
 * @param jobs the jobs that entries run; late jobs come first
 * @param repairs repairs in progress, one line each
 */
record FleetStatus(
        List<Instance> instances,
        List<Target> targets,
        List<TeamUsage> teams,
        List<Job> jobs,
        List<String> repairs) {
    private static final String IN_STATE = "in";

    /** An entry. */
    record Instance(
            String name, String zone, boolean isReady, long calls, long peers, long revision) {}

    /** A target; its state names the entries that do not use it. */
    record Target(String name, String service, String zone, int slots, int load, String state) {}

    /** A job and its deadline; times are ISO 8601, empty if there is none. */
    record Job(
            String id,
            String team,
            String holder,
            String takenOverFrom,
            int open,
            int items,
            String expectedEnd,
            String due,
            boolean isLate) {}

    static FleetStatus of(Collection<JsonNode> answers) {
        List<Instance> instances = answers.stream().map(FleetStatus::instance).toList();
        List<Target> targets = targets(answers);
        List<Job> jobs =
                answers.stream()
                        .flatMap(answer -> elements(answer, "jobs").map(job -> job(answer, job)))
                        .sorted(Comparator.comparing(job -> !job.isLate()))
                        .toList();
        List<String> repairs = new ArrayList<>();
        jobs.stream()
                .filter(job -> !job.takenOverFrom().isEmpty())
                .map(job -> job.id() + " was taken over from " + job.takenOverFrom())
                .forEach(repairs::add);
        targets.stream()
                .filter(target -> !target.state().equals(IN_STATE))
                .map(target -> target.name() + " is " + target.state())
                .forEach(repairs::add);
        answers.stream()
                .flatMap(answer -> elements(answer, "sharesToReclaim"))
                .map(share -> "the rate-limit share of " + share.asText() + " is to be reclaimed")
                .distinct()
                .forEach(repairs::add);
        long newest = instances.stream().mapToLong(Instance::revision).max().orElse(0);
        instances.stream()
                .filter(each -> each.revision() < newest)
                .map(
                        each ->
                                each.name()
                                        + " has configuration revision "
                                        + each.revision()
                                        + ", newest is "
                                        + newest)
                .forEach(repairs::add);
        return new FleetStatus(instances, targets, teams(answers), jobs, repairs);
    }

    /** Returns the number of slots of all targets. */
    int totalSlots() {
        return targets.stream().mapToInt(Target::slots).sum();
    }

    void writeTo(ObjectNode json) {
        ArrayNode targetList = json.putArray("targets");
        targets.forEach(
                target ->
                        targetList
                                .addObject()
                                .put("target", target.name())
                                .put("service", target.service())
                                .put("zone", target.zone())
                                .put("slots", target.slots())
                                .put("load", target.load())
                                .put("state", target.state()));
        ArrayNode teamList = json.putArray("teams");
        teams.forEach(team -> team.writeTo(teamList.addObject()));
        ArrayNode jobList = json.putArray("jobs");
        jobs.forEach(job -> write(jobList.addObject(), job));
        repairs.forEach(json.putArray("repairs")::add);
    }

    private static void write(ObjectNode node, Job job) {
        node.put("job", job.id())
                .put("team", job.team())
                .put("heldBy", job.holder())
                .put("takenOverFrom", job.takenOverFrom())
                .put("open", job.open())
                .put("items", job.items())
                .put("expectedEnd", job.expectedEnd())
                .put("due", job.due())
                .put("late", job.isLate());
    }

    private static Instance instance(JsonNode answer) {
        return new Instance(
                answer.path("instance").asText(),
                answer.path("zone").asText(),
                answer.path("ready").asBoolean(),
                answer.path("callsUnderWay").asLong(),
                answer.path("peers").asLong(),
                answer.at("/config/revision").asLong());
    }

    private static Job job(JsonNode answer, JsonNode job) {
        return new Job(
                job.path("job").asText(),
                job.path("team").asText(),
                answer.path("instance").asText(),
                job.path("takenOverFrom").asText(),
                job.path("open").asInt(),
                job.path("items").asInt(),
                job.path("expectedEnd").asText(),
                job.path("due").asText(),
                job.path("late").asBoolean());
    }

    private static List<TeamUsage> teams(Collection<JsonNode> answers) {
        Map<String, TeamUsage> totals =
                answers.stream()
                        .flatMap(answer -> elements(answer, "teams"))
                        .map(TeamUsage::of)
                        .collect(
                                Collectors.toMap(
                                        TeamUsage::team,
                                        team -> team,
                                        TeamUsage::plus,
                                        TreeMap::new));
        return totals.values().stream()
                .sorted(Comparator.comparingDouble(TeamUsage::admittedPerSecond).reversed())
                .toList();
    }

    private static List<Target> targets(Collection<JsonNode> answers) {
        Map<String, List<EntryView>> views =
                answers.stream()
                        .flatMap(
                                answer ->
                                        elements(answer, "targets")
                                                .map(target -> EntryView.of(answer, target)))
                        .collect(
                                Collectors.groupingBy(
                                        EntryView::name, TreeMap::new, Collectors.toList()));
        return views.values().stream()
                .map(FleetStatus::target)
                .sorted(Comparator.comparing(target -> target.state().equals(IN_STATE)))
                .toList();
    }

    private static Target target(List<EntryView> views) {
        EntryView first = views.get(0);
        String state =
                views.stream()
                        .filter(view -> !view.problem().isEmpty())
                        .map(view -> view.problem() + " " + view.entry())
                        .collect(Collectors.joining(", "));
        return new Target(
                first.name(),
                views.stream().map(EntryView::service).max(String::compareTo).orElse(""),
                first.zone(),
                views.stream().mapToInt(EntryView::slots).max().orElse(0),
                views.stream().mapToInt(EntryView::reportedLoad).max().orElse(0),
                state.isEmpty() ? IN_STATE : state);
    }

    private static Stream<JsonNode> elements(JsonNode answer, String field) {
        return Json.elements(answer.path(field));
    }

    /** State of a target at one entry. */
    private record EntryView(
            String entry,
            String name,
            String service,
            String zone,
            int slots,
            int reportedLoad,
            String problem) {

        static EntryView of(JsonNode answer, JsonNode target) {
            String problem =
                    !target.path("usable").asBoolean()
                            ? "not usable for"
                            : target.path("admission").asText().equals("IN") ? "" : "left out by";
            return new EntryView(
                    answer.path("instance").asText(),
                    target.path("companion").asText(),
                    target.path("service").asText(),
                    target.path("zone").asText(),
                    target.path("slots").asInt(),
                    target.path("reported").asInt(),
                    problem);
        }
    }
}
