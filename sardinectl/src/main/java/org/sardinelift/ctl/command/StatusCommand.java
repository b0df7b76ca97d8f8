package org.sardinelift.ctl.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.ctl.Outcome;
import org.sardinelift.ctl.TextTable;

/** Shows the state of the fleet on one screen. */
public final class StatusCommand extends Command {
    /** Limits each table so that all tables fit on one screen. */
    private static final int MAX_ROWS = 20;

    private static final int PERCENT = 100;

    /** Creates the command. */
    public StatusCommand() {
        super("status", "", "show instances, targets, teams, jobs and repairs on one screen");
    }

    @Override
    public Options options() {
        return CommonOptions.operators();
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        FleetResponses responses = FleetResponses.callAll(context, "GET", "/status");
        FleetStatus status = FleetStatus.of(responses.answers().values());
        ObjectNode json = responses.toJson();
        status.writeTo(json);
        String text =
                Stream.of(
                                instances(status),
                                targets(status),
                                teams(status),
                                jobs(status),
                                repairs(status))
                        .collect(Collectors.joining("\n\n"));
        return responses.toOutcome(json, text);
    }

    private static String instances(FleetStatus status) {
        TextTable table =
                TextTable.withColumns(
                        "INSTANCE", "ZONE", "READY", "CALLS", "PEERS", "CONFIG REVISION");
        status.instances()
                .forEach(
                        each ->
                                table.addRow(
                                        each.name(),
                                        each.zone(),
                                        String.valueOf(each.isReady()),
                                        String.valueOf(each.calls()),
                                        String.valueOf(each.peers()),
                                        String.valueOf(each.revision())));
        return table.toString();
    }

    private static String targets(FleetStatus status) {
        TextTable table =
                TextTable.withColumns("TARGET", "SERVICE", "ZONE", "SLOTS", "LOAD", "STATE");
        firstRows(status.targets())
                .forEach(
                        each ->
                                table.addRow(
                                        each.name(),
                                        each.service(),
                                        each.zone(),
                                        String.valueOf(each.slots()),
                                        String.valueOf(each.load()),
                                        each.state()));
        return table + omittedNote(status.targets());
    }

    private static String teams(FleetStatus status) {
        TextTable table =
                TextTable.withColumns(
                        "TEAM",
                        "ADMITTED",
                        "REFUSED",
                        "RATE/S",
                        "DUE/S",
                        "BURST",
                        "ONLINE",
                        "BATCH",
                        "SLOTS",
                        "DUE");
        double weights = status.teams().stream().mapToDouble(TeamUsage::onlineWeight).sum();
        firstRows(status.teams())
                .forEach(
                        team ->
                                table.addRow(
                                        team.team().isEmpty() ? "(open)" : team.team(),
                                        String.valueOf(team.admitted()),
                                        String.valueOf(team.refused()),
                                        formatNumber(team.admittedPerSecond()),
                                        formatNumber(team.ratePerSecond()),
                                        formatNumber(team.burst()),
                                        String.valueOf(team.onlineCalls()),
                                        String.valueOf(team.batchItems()),
                                        percent(
                                                team.onlineCalls() + team.batchItems(),
                                                status.totalSlots()),
                                        percent(team.onlineWeight(), weights)));
        return table + omittedNote(status.teams());
    }

    private static String jobs(FleetStatus status) {
        TextTable table =
                TextTable.withColumns(
                        "JOB", "TEAM", "HELD BY", "OPEN", "ITEMS", "EXPECTED END", "DUE", "");
        firstRows(status.jobs())
                .forEach(
                        job ->
                                table.addRow(
                                        job.id(),
                                        job.team(),
                                        job.holder(),
                                        String.valueOf(job.open()),
                                        String.valueOf(job.items()),
                                        job.expectedEnd().isEmpty() ? "-" : job.expectedEnd(),
                                        job.due().isEmpty() ? "-" : job.due(),
                                        job.isLate() ? "LATE" : ""));
        return table + omittedNote(status.jobs());
    }

    private static String repairs(FleetStatus status) {
        List<String> repairs = status.repairs();
        return "BEING REPAIRED\n"
                + (repairs.isEmpty()
                        ? "nothing"
                        : firstRows(repairs).collect(Collectors.joining("\n"))
                                + omittedNote(repairs));
    }

    private static <T> Stream<T> firstRows(List<T> rows) {
        return rows.stream().limit(MAX_ROWS);
    }

    private static String omittedNote(List<?> rows) {
        return rows.size() > MAX_ROWS
                ? "\nand " + (rows.size() - MAX_ROWS) + " more; --output json shows all of them"
                : "";
    }

    private static String percent(double part, double total) {
        return total == 0 ? "-" : Math.round(PERCENT * part / total) + "%";
    }

    private static String formatNumber(double value) {
        return value == Math.rint(value)
                ? String.valueOf((long) value)
                : String.format(Locale.ROOT, "%.1f", value);
    }
}
