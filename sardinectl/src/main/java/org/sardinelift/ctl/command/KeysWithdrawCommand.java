package org.sardinelift.ctl.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.core.catalog.ConfigKind;
import org.sardinelift.core.catalog.ConfigRef;
import org.sardinelift.ctl.ExitCode;
import org.sardinelift.ctl.Outcome;
import org.sardinelift.ctl.config.ConfigEntry;
import org.sardinelift.ctl.config.ConfigWriter;
import org.sardinelift.ctl.config.StoredConfig;
import org.sardinelift.ctl.config.WriteOutcome;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.StoredObject;

/** Withdraws a key; the entry stays, so that the key can never come back. */
public final class KeysWithdrawCommand extends Command {
    private static final String WITHDRAWN = "withdrawn";
    private static final int MAX_ATTEMPTS = 5;

    /** Makes the command. */
    public KeysWithdrawCommand() {
        super("keys withdraw", "ID", "withdraw a key by its identifier, the part after sl_");
    }

    @Override
    public Options options() {
        return CommonOptions.platform();
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        String id = context.argument(0, "ID");
        ObjectStore store = context.platform();
        WriteOutcome last = null;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            ReadResult read = store.read(new ObjectKey(ConfigKind.KEY.label(), id)).join();
            if (read instanceof ReadResult.Unavailable unavailable) {
                return StoreOutcomes.unavailable(unavailable.reason());
            }
            if (read instanceof ReadResult.Absent) {
                return Outcome.failed(
                        ExitCode.REFUSED,
                        "There is no key " + id,
                        "List the identifiers with get key.");
            }
            last = withdraw(store, id, ((ReadResult.Found) read).object());
            if (last.code() != ExitCode.CONFLICT) {
                break;
            }
        }
        return StoreOutcomes.written(List.of(last));
    }

    private static WriteOutcome withdraw(ObjectStore store, String id, StoredObject held) {
        ObjectNode value = StoredConfig.value(held).put(WITHDRAWN, true);
        ConfigRef ref = new ConfigRef(ConfigKind.KEY, id);
        return ConfigWriter.of(store, () -> UUID.randomUUID().toString())
                .write(new ConfigEntry(ref, OptionalLong.empty(), false, value), Optional.of(held));
    }
}
