package org.sardinelift.ctl.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.core.catalog.ConfigKind;
import org.sardinelift.core.catalog.ConfigProblem;
import org.sardinelift.ctl.ExitCode;
import org.sardinelift.ctl.Outcome;
import org.sardinelift.ctl.config.ConfigEntry;
import org.sardinelift.ctl.config.ConfigFile;
import org.sardinelift.ctl.config.ConfigWriter;
import org.sardinelift.ctl.config.StoredConfig;
import org.sardinelift.ctl.config.WriteOutcome;
import org.sardinelift.objects.ObjectStore;

/** Writes the objects of a file, each only if its stored version is the expected one. */
public final class ApplyCommand extends Command {

    /** Creates the command. */
    public ApplyCommand() {
        super("apply", "", "write templates, teams and services from a file");
    }

    @Override
    public Options options() {
        return CommonOptions.platform()
                .addOption(
                        shortOption("f", "FILE", "file of objects, - for standard input, required"))
                .addOption(null, "wait", false, "wait until all --operators have confirmed")
                .addOption(longOption("wait-ms", "MS", "longest time to wait, default 10000"))
                .addOptions(CommonOptions.operators());
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        ConfigFile file = ConfigFile.parse(context.readText(context.requiredOption("f")));
        if (!file.problems().isEmpty()) {
            return StoreOutcomes.invalid(file.problems());
        }
        ObjectStore store = context.objectStore();
        StoredConfig.Result read =
                StoredConfig.read(store, ConfigKind.TEMPLATE, ConfigKind.TEAM, ConfigKind.SERVICE);
        if (read instanceof StoredConfig.Result.Unavailable unavailable) {
            return StoreOutcomes.unavailable(unavailable.reason());
        }
        StoredConfig config = ((StoredConfig.Result.Read) read).config();
        List<ConfigProblem> problems = config.checkReferences(file.entries());
        if (!problems.isEmpty()) {
            return StoreOutcomes.invalid(problems);
        }
        List<WriteOutcome> outcomes = write(store, config, file.entries());
        Outcome written = StoreOutcomes.written(outcomes);
        return written.code() == ExitCode.OK && context.line().hasOption("wait")
                ? awaitConfirmation(context, outcomes, written)
                : written;
    }

    /** Stops at the first object that was not written, since later ones may refer to it. */
    private static List<WriteOutcome> write(
            ObjectStore store, StoredConfig config, List<ConfigEntry> entries) {
        ConfigWriter writer = ConfigWriter.of(store, () -> UUID.randomUUID().toString());
        List<WriteOutcome> outcomes = new ArrayList<>();
        for (ConfigEntry entry : entries) {
            WriteOutcome outcome = writer.write(entry, config.find(entry.ref()));
            outcomes.add(outcome);
            if (outcome.code() != ExitCode.OK) {
                break;
            }
        }
        return outcomes;
    }

    private static Outcome awaitConfirmation(
            CommandContext context, List<WriteOutcome> outcomes, Outcome written)
            throws ParseException {
        long revision = outcomes.stream().mapToLong(ApplyCommand::revision).max().orElse(0);
        Duration timeout = Duration.ofMillis(context.intOption("wait-ms", 10_000));
        Confirmation confirmation =
                Confirmation.await(
                        context.client(), context.operatorAddresses(), revision, timeout);
        ObjectNode json = written.json().deepCopy();
        json.set("confirmation", confirmation.toJson());
        ExitCode exitCode = confirmation.isComplete() ? ExitCode.OK : ExitCode.UNCONFIRMED;
        return new Outcome(exitCode, json, written.text() + "\n" + confirmation.text());
    }

    private static long revision(WriteOutcome outcome) {
        if (outcome instanceof WriteOutcome.Written written) {
            return written.revision();
        }
        return outcome instanceof WriteOutcome.Unchanged unchanged ? unchanged.revision() : 0;
    }
}
