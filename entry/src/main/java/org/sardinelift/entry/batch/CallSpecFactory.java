package org.sardinelift.entry.batch;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Objects;
import org.sardinelift.core.catalog.Catalog;
import org.sardinelift.core.catalog.TeamPlan;
import org.sardinelift.core.poison.Fingerprint;
import org.sardinelift.entry.call.CallSpec;

/** Builds the call of one attempt at a batch item. */
final class CallSpecFactory {
    private CallSpecFactory() {}

    static CallSpec create(
            ItemRun item, int attempt, TeamPlan team, Catalog catalog, BatchSettings settings) {
        BatchItem call = item.item();
        String requestId =
                String.join(
                        "-",
                        item.run().header().id(),
                        String.valueOf(item.chunk().number()),
                        String.valueOf(item.index()),
                        String.valueOf(item.run().fence()),
                        String.valueOf(attempt));
        byte[] body = call.body().getBytes(StandardCharsets.UTF_8);
        return new CallSpec(
                requestId,
                team,
                true,
                Objects.requireNonNull(catalog.services().get(call.service())),
                call.model(),
                call.method(),
                call.path(),
                call.body().isEmpty() ? Map.of() : Map.of("content-type", "application/json"),
                body,
                settings.itemDeadline(),
                call.isRepeatable(),
                Fingerprint.of(team.name(), call.method() + " " + call.path(), body),
                call.prefixGroup(),
                traceparent(requestId));
    }

    /** Trace context of a root span, derived from the request id so that it is always the same. */
    private static String traceparent(String requestId) {
        String hash = Digests.sha256(requestId);
        return "00-" + hash.substring(0, 32) + "-" + hash.substring(32, 48) + "-01";
    }
}
