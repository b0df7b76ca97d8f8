package org.sardinelift.bench.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.HdrHistogram.Histogram;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.bench.load.Arrival;
import org.sardinelift.bench.load.ArrivalPlan;
import org.sardinelift.bench.load.BatchJob;
import org.sardinelift.bench.load.Endpoint;
import org.sardinelift.bench.load.EngineCompletions;
import org.sardinelift.bench.load.LoadGenerator;
import org.sardinelift.bench.load.LoadResult;
import org.sardinelift.bench.load.RequestTemplate;
import org.sardinelift.bench.load.TeamLoad;
import org.sardinelift.bench.report.Report;
import org.sardinelift.http.HttpClient;

/**
 * Measures batch throughput, online tail latency with and without batch, the worst-served team, and
 * refusals within the rate. The same arrivals go directly to an engine, then through the entries,
 * then through the entries while a batch job runs.
 */
public final class MeasuresCommand extends Command {
    private static final String DIRECT = "direct";
    private static final String ENTRY = "entry";
    private static final String WITH_BATCH = "entry with batch";
    private static final String MS = "ms";
    private static final double MAX_REFILL_SECONDS = 10;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Creates the command. */
    public MeasuresCommand() {
        super("measures", "batch throughput, online tails, worst-served team, wrong refusals");
    }

    @Override
    Options options() {
        return new Options()
                .addOption(longOption("entries", "HOST:PORT,...", "callers' ports, required"))
                .addOption(longOption("direct", "HOST:PORT,...", "engines, for the baseline"))
                .addOption(
                        longOption("teams", "NAME=KEY:RATE:BURST:OFFERED,...", "teams, required"))
                .addOption(longOption("batch-key", "KEY", "key of the team that submits the job"))
                .addOption(longOption("batch-items", "N", "items of the job, default 5000"))
                .addOption(longOption("seconds", "S", "length of each phase, default 20"))
                .addOption(longOption("warmup-seconds", "S", "length of the warm-up, default 5"));
    }

    @Override
    Report run(CommandLine line, HttpClient client) throws ParseException {
        List<TeamLoad> teams = teamsOption(line);
        List<Endpoint> entries = endpoints(requiredOption(line, "entries"));
        long seed = intOption(line, "seed", 1);
        PhaseRunner runner = new PhaseRunner(line, client, seed);
        runner.send(
                "warm",
                entries,
                ArrivalPlan.poisson(seed, teams, secondsOption(line, "warmup-seconds", 5)));
        Duration duration = secondsOption(line, "seconds", 20);
        List<Arrival> arrivals = ArrivalPlan.poisson(seed + 1, teams, duration);
        Report report = Report.of("The four measures, seed " + seed);
        if (line.hasOption(DIRECT)) {
            List<Endpoint> engines = endpoints(line.getOptionValue(DIRECT));
            addLoadMeasures(report, DIRECT, runner.send(DIRECT, engines, arrivals));
        }
        LoadResult withoutBatch = runner.send("alone", entries, arrivals);
        addLoadMeasures(report, ENTRY, withoutBatch);
        addFairness(report, ENTRY, withoutBatch);
        if (line.hasOption("batch-key")) {
            measureWithBatch(line, client, runner, entries, arrivals, withoutBatch, report);
        }
        return report;
    }

    private static void measureWithBatch(
            CommandLine line,
            HttpClient client,
            PhaseRunner runner,
            List<Endpoint> entries,
            List<Arrival> arrivals,
            LoadResult withoutBatch,
            Report report)
            throws ParseException {
        RequestTemplate items = runner.template("job-" + System.currentTimeMillis());
        BatchJob job =
                BatchJob.submit(
                        client,
                        entries.get(0),
                        requiredOption(line, "batch-key"),
                        items,
                        intOption(line, "batch-items", 5_000));
        List<Endpoint> engines =
                line.hasOption(DIRECT) ? endpoints(line.getOptionValue(DIRECT)) : List.of();
        OptionalLong callsBefore = EngineCompletions.read(client, engines);
        long before = job.completed();
        LoadResult withBatch = runner.send("beside", entries, arrivals);
        long committed = job.completed() - before;
        OptionalLong callsAfter = EngineCompletions.read(client, engines);
        job.cancel();
        report.add(WITH_BATCH, "batch items committed", committed / withBatch.seconds(), "items/s");
        if (callsBefore.isPresent() && callsAfter.isPresent()) {
            long calls = callsAfter.getAsLong() - callsBefore.getAsLong() - withBatch.served();
            report.add(WITH_BATCH, "batch items run", calls / withBatch.seconds(), "items/s");
        }
        addLoadMeasures(report, WITH_BATCH, withBatch);
        addFairness(report, WITH_BATCH, withBatch);
        List.of(99.0, 99.9)
                .forEach(
                        percentile ->
                                report.add(
                                        WITH_BATCH,
                                        "first token p" + percentile + " with batch / without",
                                        LoadResult.millis(withBatch.timeToFirstToken(), percentile)
                                                / LoadResult.millis(
                                                        withoutBatch.timeToFirstToken(),
                                                        percentile),
                                        "ratio"));
    }

    static void addLoadMeasures(Report report, String group, LoadResult result) {
        addPercentiles(report, group, "first token", result.timeToFirstToken());
        addPercentiles(report, group, "between tokens", result.interTokenLatency());
        report.add(group, "requests served", result.served() / result.seconds(), "requests/s");
        report.add(group, "tokens", result.tokens() / result.seconds(), "tokens/s");
        report.add(group, "requests failed", result.failed(), "requests");
    }

    private static void addPercentiles(
            Report report, String group, String name, Histogram histogram) {
        List.of(50.0, 99.0, 99.9)
                .forEach(
                        percentile ->
                                report.add(
                                        group,
                                        name + " p" + percentile,
                                        LoadResult.millis(histogram, percentile),
                                        MS));
    }

    private static void addFairness(Report report, String group, LoadResult result) {
        result.worstServed()
                .ifPresent(
                        worst ->
                                report.add(
                                        group,
                                        "worst-served team's share (" + worst.getKey() + ")",
                                        worst.getValue().servedFraction(),
                                        "of its due"));
        report.add(group, "refused within the rate", result.wronglyRefused(), "requests");
    }

    private static List<Endpoint> endpoints(String text) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (String each : text.split(",")) {
            endpoints.add(Endpoint.parse(each.strip()));
        }
        return List.copyOf(endpoints);
    }

    /** Sends the arrivals of one phase and collects the results. */
    private record PhaseRunner(CommandLine line, HttpClient client, long seed) {

        /**
         * Waits until every team's burst is refilled, as the plan assumes, and sends the arrivals.
         */
        LoadResult send(String run, List<Endpoint> endpoints, List<Arrival> arrivals) {
            double refillSeconds =
                    arrivals.stream()
                            .map(Arrival::team)
                            .distinct()
                            .mapToDouble(team -> team.burst() / team.ratePerSecond())
                            .max()
                            .orElse(0);
            Pause.sleepNanos(
                    (long) (Math.min(MAX_REFILL_SECONDS, refillSeconds) * NANOS_PER_SECOND));
            LoadResult result = new LoadResult();
            LoadGenerator.of(client, template(run + "-" + System.currentTimeMillis()))
                    .send(
                            arrivals,
                            arrival -> endpoints.get(arrival.number() % endpoints.size()),
                            arrival -> result);
            return result;
        }

        RequestTemplate template(String run) {
            return new RequestTemplate(
                    run,
                    line.getOptionValue("model", "registry-llm"),
                    intOption(line, "max-tokens", 16),
                    intOption(line, "prompt-chars", 256));
        }
    }
}
