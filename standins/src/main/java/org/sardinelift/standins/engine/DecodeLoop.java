package org.sardinelift.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.standins.Json;

/** Decodes with continuous batching: each step produces one token for every running sequence. */
final class DecodeLoop implements AutoCloseable {
    private static final long IDLE_SLEEP_NANOS = 20_000_000;

    private final EngineOptions options;
    private final Runnable onCrash;
    private final Map<String, Generation> active = new LinkedHashMap<>();
    private final Map<String, Generation> retained;
    private final EngineCounters counters = new EngineCounters();
    private final Thread thread;
    private PrefixCache cache;
    private LoadReport report = new LoadReport(0, 0, System.nanoTime());
    private LoadReport published = report;
    private volatile boolean closed;

    DecodeLoop(EngineOptions options, Runnable onCrash) {
        this.options = options;
        this.onCrash = onCrash;
        this.cache = new PrefixCache(options.cacheBlocks());
        this.retained =
                new LinkedHashMap<>() {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<String, Generation> eldest) {
                        return size() > options.retained();
                    }
                };
        this.thread = new Thread(this::run, "engine-standin-decode");
        thread.setDaemon(true);
        thread.start();
    }

    void start(String id, Prompt prompt, HttpExchange exchange) {
        synchronized (this) {
            Generation generation = new Generation(id, prompt, exchange);
            int cached = cache.addAndCountHits(prompt.text());
            counters.onStart(cached);
            long uncached = Math.max(0, prompt.tokens() - cached);
            generation.setReadyNanos(
                    System.nanoTime() + uncached * options.prefillPerToken().toNanos());
            active.put(id, generation);
        }
        exchange.addCloseListener(() -> onReaderClosed(id, exchange));
        LockSupport.unpark(thread);
    }

    /** Stops a running sequence and retains its output for a resume; returns false if none runs. */
    boolean cancel(String id) {
        Generation cancelled;
        synchronized (this) {
            cancelled = active.remove(id);
            if (cancelled == null) {
                return false;
            }
            counters.onCancel();
            retained.put(id, cancelled);
        }
        cancelled.abortReader();
        cancelled.clearReader();
        return true;
    }

    /**
     * Continues a cancelled or running sequence, or repeats a finished one, from a byte offset.
     *
     * @return the offset, or the number of bytes written if that is less; empty if the sequence is
     *     unknown
     */
    Optional<Integer> resume(String id, int offset, HttpExchange exchange) {
        synchronized (this) {
            Generation kept = active.containsKey(id) ? active.get(id) : retained.remove(id);
            if (kept == null) {
                return Optional.empty();
            }
            if (offset > kept.writtenBytes()) {
                retained.put(id, kept);
                return Optional.of(kept.writtenBytes());
            }
            counters.onResume();
            kept.resume(exchange, offset);
            if (kept.isFinished()) {
                retained.put(id, kept);
            } else {
                active.put(id, kept);
            }
        }
        exchange.addCloseListener(() -> onReaderClosed(id, exchange));
        LockSupport.unpark(thread);
        return Optional.of(offset);
    }

    synchronized ObjectNode counters() {
        return counters.toJson();
    }

    synchronized ObjectNode load() {
        refreshReport(System.nanoTime());
        return Json.object()
                .put("running", published.running())
                .put("waiting", published.waiting())
                .put("slots", options.slots())
                .put("lagMs", options.loadLag().toMillis());
    }

    /** Discards all state, as the death of the process would; returns the lost active sequences. */
    synchronized List<Generation> clearState() {
        List<Generation> lost = new ArrayList<>(active.values());
        active.clear();
        retained.clear();
        cache = new PrefixCache(options.cacheBlocks());
        counters.onCrash();
        return lost;
    }

    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
    }

    private synchronized void onReaderClosed(String id, HttpExchange exchange) {
        Generation generation = active.get(id);
        if (generation != null && generation.isReadBy(exchange)) {
            cancel(id);
        }
    }

    private void run() {
        long next = System.nanoTime();
        while (!closed) {
            long now = System.nanoTime();
            if (now - next < 0) {
                LockSupport.parkNanos(next - now);
                continue;
            }
            int running = step(now);
            if (running == 0) {
                LockSupport.parkNanos(IDLE_SLEEP_NANOS);
                next = System.nanoTime();
                continue;
            }
            next = Math.max(next + stepNanos(running), now);
        }
    }

    private long stepNanos(int running) {
        long nanos = options.tokenTime().toNanos();
        return running <= options.slots() ? nanos : nanos * running / options.slots();
    }

    private int step(long now) {
        boolean crash = false;
        int running;
        synchronized (this) {
            refreshReport(now);
            running = options.overload().running(active.size(), options.slots());
            counters.onRunning(running);
            List<Generation> batch = active.values().stream().limit(running).toList();
            for (Generation generation : batch) {
                if (generation.isReady(now)) {
                    crash |= containsCrashMarker(generation);
                    advance(generation);
                }
            }
            report = new LoadReport(running, active.size() - running, report.createdNanos());
        }
        if (crash) {
            onCrash.run();
        }
        return running;
    }

    private void advance(Generation generation) {
        generation.produceToken();
        counters.onToken();
        if (generation.isFinished()) {
            counters.onComplete();
            active.remove(generation.id());
            retained.put(generation.id(), generation);
        }
    }

    private boolean containsCrashMarker(Generation generation) {
        return !options.crashMarker().isEmpty()
                && generation.prompt().text().contains(options.crashMarker());
    }

    private void refreshReport(long now) {
        if (now - report.createdNanos() >= options.loadLag().toNanos()) {
            published = report;
            int running = options.overload().running(active.size(), options.slots());
            report = new LoadReport(running, active.size() - running, now);
        }
    }

    private record LoadReport(int running, int waiting, long createdNanos) {}
}
