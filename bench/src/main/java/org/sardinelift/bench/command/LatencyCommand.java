package org.sardinelift.bench.command;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.bench.load.Arrival;
import org.sardinelift.bench.load.ArrivalPlan;
import org.sardinelift.bench.load.Endpoint;
import org.sardinelift.bench.load.LoadGenerator;
import org.sardinelift.bench.load.LoadResult;
import org.sardinelift.bench.load.ProcessSample;
import org.sardinelift.bench.load.RequestTemplate;
import org.sardinelift.bench.load.TeamLoad;
import org.sardinelift.bench.report.Report;
import org.sardinelift.http.HttpClient;

/**
 * Measures the latency that entry and companion add. Each arrival goes at random, from the seed,
 * either directly to the engine or through the entry, so that both paths are measured on the same
 * engine at the same time. The warm-up keeps many requests in flight on both paths, so that
 * compiled code is measured. The given processes are measured idle and under this load.
 */
public final class LatencyCommand extends Command {
    private static final int WARM_UP_CONCURRENCY = 16;

    /** Creates the command. */
    public LatencyCommand() {
        super("latency", "added latency, requests and tokens a second, usage of given processes");
    }

    @Override
    Options options() {
        return new Options()
                .addOption(longOption("entry", "HOST:PORT", "callers' port of the entry, required"))
                .addOption(longOption("direct", "HOST:PORT", "the engine, required"))
                .addOption(longOption("key", "KEY", "caller's key, required"))
                .addOption(longOption("rate", "N", "requests a second, default 75"))
                .addOption(longOption("seconds", "S", "length of the run, default 30"))
                .addOption(
                        longOption(
                                "warmup-seconds",
                                "S",
                                "length of the warm-up, both paths together, default 10"))
                .addOption(longOption("idle-seconds", "S", "idle time measured first, default 5"))
                .addOption(longOption("pids", "NAME=PID,...", "processes to measure"));
    }

    @Override
    Report run(CommandLine line, HttpClient client) throws IOException, ParseException {
        Endpoint entry = Endpoint.parse(requiredOption(line, "entry"));
        Endpoint direct = Endpoint.parse(requiredOption(line, "direct"));
        long seed = intOption(line, "seed", 1);
        WatchedProcesses processes = WatchedProcesses.parse(line.getOptionValue("pids", ""));
        Report report = Report.of("Latency added by entry and companion, seed " + seed);
        processes.measureIdle(report, secondsOption(line, "idle-seconds", 5));
        List<TeamLoad> teams =
                List.of(
                        new TeamLoad(
                                "bench",
                                requiredOption(line, "key"),
                                intOption(line, "rate", 75),
                                1,
                                1));
        warmUp(line, client, teams.get(0), List.of(direct, entry));
        List<ProcessSample> before = processes.sample();
        List<LoadResult> results =
                sendToBoth(
                        line,
                        client,
                        entry,
                        direct,
                        teams,
                        seed + 1,
                        secondsOption(line, "seconds", 30));
        processes.addUsage(report, "loaded", before);
        MeasuresCommand.addLoadMeasures(report, "direct", results.get(0));
        MeasuresCommand.addLoadMeasures(report, "entry", results.get(1));
        addComparison(
                report,
                "first token",
                results.get(0).timeToFirstToken(),
                results.get(1).timeToFirstToken());
        addComparison(
                report,
                "between tokens",
                results.get(0).interTokenLatency(),
                results.get(1).interTokenLatency());
        return report;
    }

    /** Divides the time evenly between the endpoints; the results are discarded. */
    private static void warmUp(
            CommandLine line, HttpClient client, TeamLoad team, List<Endpoint> endpoints) {
        Duration each = secondsOption(line, "warmup-seconds", 10).dividedBy(endpoints.size());
        endpoints.forEach(
                endpoint ->
                        LoadGenerator.of(client, template(line))
                                .saturate(team, WARM_UP_CONCURRENCY, each, endpoint));
    }

    private static RequestTemplate template(CommandLine line) {
        return new RequestTemplate(
                "latency-" + System.currentTimeMillis(),
                line.getOptionValue("model", "registry-llm"),
                intOption(line, "max-tokens", 16),
                intOption(line, "prompt-chars", 256));
    }

    /** Sends about half of the arrivals directly and the others through the entry. */
    private static List<LoadResult> sendToBoth(
            CommandLine line,
            HttpClient client,
            Endpoint entry,
            Endpoint direct,
            List<TeamLoad> teams,
            long seed,
            Duration duration) {
        List<Arrival> arrivals = ArrivalPlan.poisson(seed, teams, duration);
        SplittableRandom random = new SplittableRandom(seed);
        boolean[] usesEntry = new boolean[arrivals.size()];
        for (int i = 0; i < usesEntry.length; i++) {
            usesEntry[i] = random.nextBoolean();
        }
        LoadResult directResult = new LoadResult();
        LoadResult entryResult = new LoadResult();
        LoadGenerator.of(client, template(line))
                .send(
                        arrivals,
                        arrival -> usesEntry[arrival.number()] ? entry : direct,
                        arrival -> usesEntry[arrival.number()] ? entryResult : directResult);
        return List.of(directResult, entryResult);
    }

    private static void addComparison(
            Report report, String name, Histogram direct, Histogram entry) {
        Stream.of(50.0, 99.0)
                .forEach(
                        percentile -> {
                            double directMillis = LoadResult.millis(direct, percentile);
                            double entryMillis = LoadResult.millis(entry, percentile);
                            report.add(
                                    "added",
                                    name + " p" + percentile,
                                    entryMillis - directMillis,
                                    "ms");
                            report.add(
                                    "ratio",
                                    name + " p" + percentile,
                                    entryMillis / directMillis,
                                    "ratio");
                        });
    }
}
