package org.sardinelift.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sardinelift.standins.Json;

/** Counters of the engine since its start. Guarded by the lock of {@link DecodeLoop}. */
final class EngineCounters {
    private long started;
    private long completed;
    private long cancelled;
    private long resumed;
    private long tokens;
    private long crashes;
    private long cachedTokens;
    private int mostRunning;

    void onStart(int cached) {
        started++;
        cachedTokens += cached;
    }

    void onComplete() {
        completed++;
    }

    void onCancel() {
        cancelled++;
    }

    void onResume() {
        resumed++;
    }

    void onToken() {
        tokens++;
    }

    void onCrash() {
        crashes++;
    }

    void onRunning(int running) {
        mostRunning = Math.max(mostRunning, running);
    }

    ObjectNode toJson() {
        return Json.object()
                .put("started", started)
                .put("completed", completed)
                .put("cancelled", cancelled)
                .put("resumed", resumed)
                .put("tokens", tokens)
                .put("cachedTokens", cachedTokens)
                .put("crashes", crashes)
                .put("mostRunning", mostRunning);
    }
}
