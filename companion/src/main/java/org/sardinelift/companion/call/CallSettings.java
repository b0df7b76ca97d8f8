package org.sardinelift.companion.call;

import java.time.Duration;
import org.sardinelift.companion.outcome.OutcomeLimits;
import org.sardinelift.core.gate.GateSettings;
import org.sardinelift.settings.SettingsNode;

/**
 * Bounds of calls at a companion.
 *
 * @param tick time between two checks of deadlines while there are calls
 * @param gate bounds of the slot gate
 * @param outcomes bounds of the outcomes kept
 * @param maxAnswerBytes largest answer that is kept whole; a larger one cannot be passed on again
 * @param orphanGrace time after which a call is cut whose entry is gone
 * @param pauseBound time without a tick after which this process counts as having been paused
 */
public record CallSettings(
        Duration tick,
        GateSettings gate,
        OutcomeLimits outcomes,
        int maxAnswerBytes,
        Duration orphanGrace,
        Duration pauseBound) {
    private static final int DEFAULT_TICK_MS = 20;
    private static final int IDLE_TICKS_PER_PAUSE_BOUND = 4;
    private static final int DEFAULT_RECORDS = 20_000;
    private static final int DEFAULT_KEPT_BYTES = 64 * 1024 * 1024;
    private static final int DEFAULT_RETENTION_MS = 600_000;
    private static final int DEFAULT_TOMBSTONES = 20_000;
    private static final int DEFAULT_FORGETFUL = 1_000;
    private static final int DEFAULT_ANSWER_BYTES = 8 * 1024 * 1024;
    private static final int DEFAULT_ORPHAN_GRACE_MS = 15_000;
    private static final int DEFAULT_PAUSE_BOUND_MS = 2_000;

    /**
     * Reads and checks the bounds.
     *
     * @param node the {@code calls} object of the settings file
     * @param slots calls that the target runs at once
     * @return the bounds; errors are recorded at the node
     */
    public static CallSettings read(SettingsNode node, int slots) {
        return new CallSettings(
                node.millis("tickMs", DEFAULT_TICK_MS),
                readGate(node.object("gate"), GateSettings.defaults(slots)),
                new OutcomeLimits(
                        node.integer("keptRecords", DEFAULT_RECORDS, 1, Integer.MAX_VALUE),
                        node.integer("keptBytes", DEFAULT_KEPT_BYTES, 0, Integer.MAX_VALUE),
                        node.millis("keptMs", DEFAULT_RETENTION_MS),
                        node.integer("tombstones", DEFAULT_TOMBSTONES, 1, Integer.MAX_VALUE),
                        node.integer("forgetfulEntries", DEFAULT_FORGETFUL, 1, Integer.MAX_VALUE)),
                node.integer("maxAnswerBytes", DEFAULT_ANSWER_BYTES, 0, Integer.MAX_VALUE),
                node.millis("orphanGraceMs", DEFAULT_ORPHAN_GRACE_MS),
                node.millis("pauseBoundMs", DEFAULT_PAUSE_BOUND_MS));
    }

    /**
     * Time between two checks while there are no calls: a pause of this process must still be seen.
     *
     * @return the time
     */
    public Duration idleTickInterval() {
        Duration idle = pauseBound.dividedBy(IDLE_TICKS_PER_PAUSE_BOUND);
        return idle.compareTo(tick) < 0 ? tick : idle;
    }

    private static GateSettings readGate(SettingsNode node, GateSettings defaults) {
        int most = Integer.MAX_VALUE;
        return new GateSettings(
                node.flag("enabled", defaults.isEnabled()),
                defaults.slots(),
                node.integer("maxOnlineQueue", defaults.maxOnlineQueue(), 0, most),
                node.integer("maxBatchQueue", defaults.maxBatchQueue(), 0, most),
                node.integer("batchAhead", defaults.batchAhead(), 0, most),
                node.integer("minReserve", defaults.minReserve(), 0, most),
                node.integer("maxReserve", defaults.maxReserve(), 0, most),
                node.millis("reserveHalfLifeMs", (int) defaults.reserveHalfLifeMs()).toMillis(),
                node.millis("resumeWaitMs", (int) defaults.resumeWaitMs()).toMillis(),
                node.millis("reportSlackMs", (int) defaults.reportSlackMs()).toMillis(),
                node.millis("reportTtlMs", (int) defaults.reportTtlMs()).toMillis());
    }
}
