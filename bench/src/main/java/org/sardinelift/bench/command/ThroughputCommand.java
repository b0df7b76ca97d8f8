package org.sardinelift.bench.command;

import java.io.IOException;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.bench.load.Endpoint;
import org.sardinelift.bench.load.LoadGenerator;
import org.sardinelift.bench.load.LoadResult;
import org.sardinelift.bench.load.ProcessSample;
import org.sardinelift.bench.load.RequestTemplate;
import org.sardinelift.bench.load.TeamLoad;
import org.sardinelift.bench.report.Report;
import org.sardinelift.http.HttpClient;

/**
 * Measures requests and tokens per second with a fixed number of requests in flight: first directly
 * at the engine, then through the entry, with the resource usage of the given processes.
 */
public final class ThroughputCommand extends Command {

    /** Creates the command. */
    public ThroughputCommand() {
        super("throughput", "requests and tokens a second with many requests in flight");
    }

    @Override
    Options options() {
        return new Options()
                .addOption(longOption("entry", "HOST:PORT", "callers' port of the entry, required"))
                .addOption(longOption("direct", "HOST:PORT", "the engine, for the baseline"))
                .addOption(longOption("key", "KEY", "caller's key, required"))
                .addOption(longOption("concurrency", "N", "requests in flight, default 64"))
                .addOption(longOption("seconds", "S", "length of each phase, default 20"))
                .addOption(longOption("warmup-seconds", "S", "length of the warm-up, default 10"))
                .addOption(longOption("pids", "NAME=PID,...", "processes to measure"));
    }

    @Override
    Report run(CommandLine line, HttpClient client) throws IOException, ParseException {
        Endpoint entry = Endpoint.parse(requiredOption(line, "entry"));
        WatchedProcesses processes = WatchedProcesses.parse(line.getOptionValue("pids", ""));
        int concurrency = intOption(line, "concurrency", 64);
        Report report = Report.of("Throughput with " + concurrency + " requests under way");
        saturate(line, client, entry, concurrency, "warmup-seconds", 10);
        if (line.hasOption("direct")) {
            Endpoint direct = Endpoint.parse(line.getOptionValue("direct"));
            MeasuresCommand.addLoadMeasures(
                    report, "direct", saturate(line, client, direct, concurrency, "seconds", 20));
        }
        List<ProcessSample> before = processes.sample();
        LoadResult entryResult = saturate(line, client, entry, concurrency, "seconds", 20);
        processes.addUsage(report, "loaded", before);
        MeasuresCommand.addLoadMeasures(report, "entry", entryResult);
        return report;
    }

    private static LoadResult saturate(
            CommandLine line,
            HttpClient client,
            Endpoint endpoint,
            int concurrency,
            String lengthOption,
            int defaultSeconds)
            throws ParseException {
        RequestTemplate template =
                new RequestTemplate(
                        "throughput-" + System.currentTimeMillis(),
                        line.getOptionValue("model", "registry-llm"),
                        intOption(line, "max-tokens", 16),
                        intOption(line, "prompt-chars", 256));
        TeamLoad team = new TeamLoad("bench", requiredOption(line, "key"), 0, 0, 0);
        return LoadGenerator.of(client, template)
                .saturate(
                        team,
                        concurrency,
                        secondsOption(line, lengthOption, defaultSeconds),
                        endpoint);
    }
}
