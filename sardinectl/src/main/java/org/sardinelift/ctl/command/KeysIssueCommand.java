package org.sardinelift.ctl.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.core.catalog.ConfigKind;
import org.sardinelift.core.catalog.ConfigProblem;
import org.sardinelift.core.catalog.ConfigRef;
import org.sardinelift.core.catalog.KeyDigest;
import org.sardinelift.core.catalog.KeyEntry;
import org.sardinelift.ctl.Json;
import org.sardinelift.ctl.Outcome;
import org.sardinelift.ctl.config.ConfigEntry;
import org.sardinelift.ctl.config.ConfigWriter;
import org.sardinelift.ctl.config.WriteOutcome;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.kinds.ConfigCodec;

/** Issues a key to a team and prints it once; only its keyed hash is stored. */
public final class KeysIssueCommand extends Command {
    private static final int ID_BYTES = 6;
    private static final int SECRET_BYTES = 24;

    private final SecureRandom random = new SecureRandom();

    /** Creates the command. */
    public KeysIssueCommand() {
        super("keys issue", "TEAM", "issue a key to a team; it is shown once");
    }

    @Override
    public Options options() {
        return CommonOptions.platform()
                .addOption(
                        longOption(
                                "pepper-file",
                                "FILE",
                                "file with the deployment's secret, or "
                                        + CommandContext.PEPPER_VARIABLE));
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        String team = context.argument(0, "TEAM");
        String pepper = pepper(context);
        ObjectStore store = context.objectStore();
        ReadResult read = store.read(new ObjectKey(ConfigKind.TEAM.label(), team)).join();
        if (read instanceof ReadResult.Unavailable unavailable) {
            return StoreOutcomes.unavailable(unavailable.reason());
        }
        String id = HexFormat.of().formatHex(randomBytes(ID_BYTES));
        if (read instanceof ReadResult.Absent) {
            return StoreOutcomes.invalid(List.of(ConfigProblem.missingTeam(id, team)));
        }
        String key = "sl_" + id + "_" + HexFormat.of().formatHex(randomBytes(SECRET_BYTES));
        KeyEntry entry = new KeyEntry(id, team, KeyDigest.of(pepper).digest(key), false);
        WriteOutcome written = write(store, entry);
        if (written instanceof WriteOutcome.Unreachable unconfirmed) {
            return Outcome.failed(
                    unconfirmed.code(),
                    "The key " + id + " is not confirmed: " + unconfirmed.reason(),
                    "Withdraw " + id + " if get key lists it, and issue another.");
        }
        if (!(written instanceof WriteOutcome.Written success)) {
            return StoreOutcomes.written(List.of(written));
        }
        ObjectNode json =
                Json.newObject()
                        .put("id", id)
                        .put("team", team)
                        .put("key", key)
                        .put("revision", success.revision());
        return Outcome.ok(json, key);
    }

    private static WriteOutcome write(ObjectStore store, KeyEntry entry) {
        ObjectNode value = (ObjectNode) Json.parseOrMissing(ConfigCodec.encode(entry));
        ConfigRef ref = new ConfigRef(ConfigKind.KEY, entry.id());
        return ConfigWriter.of(store, () -> UUID.randomUUID().toString())
                .write(new ConfigEntry(ref, OptionalLong.empty(), false, value), Optional.empty());
    }

    private static String pepper(CommandContext context) throws ParseException {
        String file = context.line().getOptionValue("pepper-file");
        String pepper =
                file == null
                        ? context.environment().getOrDefault(CommandContext.PEPPER_VARIABLE, "")
                        : context.readText(file).strip();
        if (pepper.isBlank()) {
            throw new ParseException(
                    "--pepper-file is missing; set it or "
                            + CommandContext.PEPPER_VARIABLE
                            + " to the secret in the entries' settings");
        }
        return pepper;
    }

    private byte[] randomBytes(int count) {
        byte[] bytes = new byte[count];
        random.nextBytes(bytes);
        return bytes;
    }
}
