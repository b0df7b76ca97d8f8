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

/** Withdraws a key; its object is kept, so that the key can never become valid again. */
public final class KeysWithdrawCommand extends Command {
    private static final String WITHDRAWN_FIELD = "withdrawn";
    private static final int MAX_ATTEMPTS = 5;

    /** Creates the command. */
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
        ObjectStore store = context.objectStore();
        WriteOutcome outcome = null;
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
            outcome = withdraw(store, id, ((ReadResult.Found) read).object());
            if (outcome.code() != ExitCode.CONFLICT) {
                break;
            }
        }
        return StoreOutcomes.written(List.of(outcome));
    }

    private static WriteOutcome withdraw(ObjectStore store, String id, StoredObject stored) {
        ObjectNode value = StoredConfig.parseValue(stored).put(WITHDRAWN_FIELD, true);
        ConfigRef ref = new ConfigRef(ConfigKind.KEY, id);
        return ConfigWriter.of(store, () -> UUID.randomUUID().toString())
                .write(
                        new ConfigEntry(ref, OptionalLong.empty(), false, value),
                        Optional.of(stored));
    }
}
