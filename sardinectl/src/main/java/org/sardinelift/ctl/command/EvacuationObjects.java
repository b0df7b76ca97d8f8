package org.sardinelift.ctl.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.apache.commons.cli.ParseException;
import org.sardinelift.ctl.ExitCode;
import org.sardinelift.ctl.Json;
import org.sardinelift.ctl.Outcome;
import org.sardinelift.ctl.http.Address;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.WriteResult;
import org.sardinelift.platform.PotRegistryAdapter;

/** Lists, creates and deletes the objects that request evacuations of zones. */
final class EvacuationObjects {
    private static final int MAX_ATTEMPTS = 5;
    private static final String CONTENT = "{}";

    private final ObjectStore store;
    private final String kind;

    private EvacuationObjects(ObjectStore store, String kind) {
        this.store = store;
        this.kind = kind;
    }

    static EvacuationObjects open(CommandContext context) throws ParseException {
        PotRegistryAdapter platform = PotRegistryAdapter.create();
        Address address =
                Address.parse(context.requiredOption("store", CommandContext.STORE_VARIABLE));
        return new EvacuationObjects(
                context.client().objectStore(address, platform.objectDialect()),
                platform.evacuationKind().orElseThrow());
    }

    Outcome list() {
        ListResult result = store.list(kind, "").join();
        if (result instanceof ListResult.Unavailable unavailable) {
            return unreachable("The evacuations can't be read", unavailable.reason());
        }
        ListResult.Listed listed = (ListResult.Listed) result;
        List<String> zones = listed.objects().stream().map(object -> object.key().name()).toList();
        ObjectNode json = Json.newObject().put("revision", listed.revision());
        ArrayNode array = json.putArray("zones");
        zones.forEach(array::add);
        return Outcome.ok(
                json, zones.isEmpty() ? "No zone is evacuated" : String.join("\n", zones));
    }

    /** Requests the evacuation of a zone; one that is requested already is left as it is. */
    Outcome start(String zone) {
        return repeat(
                zone,
                version -> store.write(key(zone), ObjectStore.ABSENT_VERSION, CONTENT).join(),
                true);
    }

    /** Withdraws the request; without one it has no effect. */
    Outcome end(String zone) {
        return repeat(zone, version -> store.delete(key(zone), version).join(), false);
    }

    private ObjectKey key(String zone) {
        return new ObjectKey(kind, zone);
    }

    private interface Change {
        WriteResult apply(long version);
    }

    /** Repeats a change until a read or its own answer shows that the object is as wanted. */
    private Outcome repeat(String zone, Change change, boolean isWanted) {
        String reason = "another operator changed it at the same time";
        boolean isWritten = false;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            ReadResult read = store.read(key(zone)).join();
            if (read instanceof ReadResult.Unavailable unavailable) {
                reason = unavailable.reason();
                continue;
            }
            long version =
                    read instanceof ReadResult.Found found
                            ? found.object().version()
                            : ObjectStore.ABSENT_VERSION;
            if (read instanceof ReadResult.Found == isWanted) {
                return success(zone, isWanted, isWritten);
            }
            WriteResult result = change.apply(version);
            isWritten = true;
            if (result instanceof WriteResult.Written) {
                return success(zone, isWanted, true);
            }
            if (result instanceof WriteResult.NotWritten failure) {
                return unreachable("Nothing was written", failure.reason());
            }
            reason = result instanceof WriteResult.Unclear unclear ? unclear.reason() : reason;
        }
        return unreachable(isWritten ? "It may have been written" : "Nothing was written", reason);
    }

    private static Outcome success(String zone, boolean isEvacuated, boolean isChanged) {
        String outcome =
                (isChanged ? "" : "was already ") + (isEvacuated ? "evacuated" : "in service");
        return Outcome.ok(
                Json.newObject()
                        .put("zone", zone)
                        .put("evacuated", isEvacuated)
                        .put("changed", isChanged),
                "Zone " + zone + (isChanged ? " is " : " ") + outcome);
    }

    private static Outcome unreachable(String what, String reason) {
        return Outcome.failed(
                ExitCode.UNREACHABLE,
                what + ": " + reason,
                "Check --store and repeat the command; evacuations list shows what is requested.");
    }
}
