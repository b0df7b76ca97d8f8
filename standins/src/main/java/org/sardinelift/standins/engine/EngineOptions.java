package org.sardinelift.standins.engine;

import java.time.Duration;
import java.util.Set;

/**
 * Settings of the engine stand-in.
 *
 * @param host address to bind
 * @param port port to bind, 0 for any free port
 * @param models models loaded at start-up
 * @param slots sequences that are decoded at once at full speed
 * @param overload what happens to requests beyond the slots
 * @param tokenTime duration of one decode step
 * @param prefillPerToken prefill time of a prompt token that is not cached
 * @param cacheBlocks capacity of the prefix cache, in blocks
 * @param loadLag age of the load report
 * @param loadTime time to load a model
 * @param defaultTokens tokens of an answer if the request sets no maximum
 * @param retained number of ended sequences kept for a resume
 * @param crashMarker text in a prompt that crashes the engine, empty for none
 * @param crashMode how a crash appears to clients
 * @param dropTime time for which {@link CrashMode#DROP} refuses connections
 * @param checksFence whether an order with an old fencing number is refused
 */
public record EngineOptions(
        String host,
        int port,
        Set<String> models,
        int slots,
        Overload overload,
        Duration tokenTime,
        Duration prefillPerToken,
        int cacheBlocks,
        Duration loadLag,
        Duration loadTime,
        int defaultTokens,
        int retained,
        String crashMarker,
        CrashMode crashMode,
        Duration dropTime,
        boolean checksFence) {

    /**
     * Returns the defaults: any free port on loopback, the model {@code registry-llm}, eight slots,
     * 5 ms per token.
     *
     * @return the default options
     */
    public static EngineOptions defaults() {
        return new EngineOptions(
                "127.0.0.1",
                0,
                Set.of("registry-llm"),
                8,
                Overload.WAIT,
                Duration.ofMillis(5),
                Duration.ofNanos(50_000),
                4_096,
                Duration.ofMillis(500),
                Duration.ofMillis(200),
                16,
                256,
                "",
                CrashMode.EXIT,
                Duration.ofSeconds(1),
                true);
    }

    /**
     * Sets the decoding speed.
     *
     * @param slotCount sequences that are decoded at once
     * @param time duration of one decode step
     * @return the changed options
     */
    public EngineOptions withSpeed(int slotCount, Duration time) {
        Builder builder = new Builder(this);
        builder.slots = slotCount;
        builder.tokenTime = time;
        return builder.build();
    }

    /**
     * Sets the prefill time and the capacity of the prefix cache.
     *
     * @param perToken prefill time of a prompt token that is not cached
     * @param blocks capacity of the prefix cache, in blocks
     * @return the changed options
     */
    public EngineOptions withPrefill(Duration perToken, int blocks) {
        Builder builder = new Builder(this);
        builder.prefillPerToken = perToken;
        builder.cacheBlocks = blocks;
        return builder.build();
    }

    /**
     * Sets what happens to requests beyond the slots.
     *
     * @param beyondSlots how they are handled
     * @return the changed options
     */
    public EngineOptions withOverload(Overload beyondSlots) {
        Builder builder = new Builder(this);
        builder.overload = beyondSlots;
        return builder.build();
    }

    /**
     * Simulates a crash by {@link CrashMode#DROP}, within this process, on a marker in a prompt.
     *
     * @param marker text in a prompt that causes the crash
     * @param refused time for which connections are refused afterwards
     * @return the changed options
     */
    public EngineOptions withDropOnMarker(String marker, Duration refused) {
        Builder builder = new Builder(this);
        builder.crashMarker = marker;
        builder.crashMode = CrashMode.DROP;
        builder.dropTime = refused;
        return builder.build();
    }

    /**
     * Sets whether orders with an old fencing number are refused.
     *
     * @param checks whether they are refused
     * @return the changed options
     */
    public EngineOptions withFenceCheck(boolean checks) {
        Builder builder = new Builder(this);
        builder.checksFence = checks;
        return builder.build();
    }

    /** Mutable copy of options. */
    private static final class Builder {
        private String host;
        private int port;
        private Set<String> models;
        private int slots;
        private Overload overload;
        private Duration tokenTime;
        private Duration prefillPerToken;
        private int cacheBlocks;
        private Duration loadLag;
        private Duration loadTime;
        private int defaultTokens;
        private int retained;
        private String crashMarker;
        private CrashMode crashMode;
        private Duration dropTime;
        private boolean checksFence;

        Builder(EngineOptions from) {
            host = from.host;
            port = from.port;
            models = from.models;
            slots = from.slots;
            overload = from.overload;
            tokenTime = from.tokenTime;
            prefillPerToken = from.prefillPerToken;
            cacheBlocks = from.cacheBlocks;
            loadLag = from.loadLag;
            loadTime = from.loadTime;
            defaultTokens = from.defaultTokens;
            retained = from.retained;
            crashMarker = from.crashMarker;
            crashMode = from.crashMode;
            dropTime = from.dropTime;
            checksFence = from.checksFence;
        }

        EngineOptions build() {
            return new EngineOptions(
                    host,
                    port,
                    models,
                    slots,
                    overload,
                    tokenTime,
                    prefillPerToken,
                    cacheBlocks,
                    loadLag,
                    loadTime,
                    defaultTokens,
                    retained,
                    crashMarker,
                    crashMode,
                    dropTime,
                    checksFence);
        }
    }
}
