package org.sardinelift.standins.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sardinelift.standins.Json;

/** Executes object calls, and completes waiting watches when an object changes or they time out. */
final class ObjectApi {
    private static final int MAX_VALUE_BYTES = 1_000_000;

    private final EventLoopGroup timers;
    private final ObjectTable objects;
    private final List<Watch> watches = new ArrayList<>();

    ObjectApi(EventLoopGroup timers, int historyLength) {
        this.timers = timers;
        this.objects = new ObjectTable(historyLength);
    }

    void apply(Operation operation, boolean stale, Consumer<ApiResponse> result) {
        switch (operation.type()) {
            case READ -> result.accept(read(operation, stale));
            case LIST -> result.accept(list(operation, stale));
            case WRITE -> result.accept(change(operation, operation.body()));
            case DELETE -> result.accept(change(operation, null));
            case WATCH -> watch(operation, result);
            default ->
                    result.accept(ApiResponse.of(404, Json.object().put("error", "no such call")));
        }
    }

    void compact() {
        List<Watch> woken;
        synchronized (this) {
            objects.compact();
            woken = List.copyOf(watches);
            watches.clear();
        }
        woken.forEach(this::answer);
    }

    private synchronized ApiResponse read(Operation operation, boolean stale) {
        var found =
                stale
                        ? objects.readStale(operation.kind(), operation.name())
                        : objects.read(operation.kind(), operation.name());
        return found.map(state -> ApiResponse.ok(state.toJson()))
                .orElseGet(() -> ApiResponse.notFound(objects.revision()));
    }

    private synchronized ApiResponse list(Operation operation, boolean stale) {
        ObjectNode body = Json.object().put("revision", objects.revision());
        ArrayNode list = body.putArray("objects");
        (stale
                        ? objects.listStale(operation.kind(), operation.name())
                        : objects.list(operation.kind(), operation.name()))
                .forEach(state -> list.add(state.toJson()));
        return ApiResponse.ok(body);
    }

    private ApiResponse change(Operation operation, @Nullable String value) {
        if (value != null && value.getBytes(StandardCharsets.UTF_8).length > MAX_VALUE_BYTES) {
            return ApiResponse.of(
                    413, Json.object().put("error", "the value exceeds 1000000 bytes"));
        }
        ApiResponse answer;
        List<Watch> woken;
        synchronized (this) {
            long actual = objects.version(operation.kind(), operation.name());
            if (operation.versionOrRevision() != actual || (value == null && actual == 0)) {
                return ApiResponse.of(409, Json.object().put("version", actual));
            }
            long version = objects.put(operation.kind(), operation.name(), value);
            answer =
                    ApiResponse.ok(
                            Json.object()
                                    .put("version", version)
                                    .put("revision", objects.revision()));
            woken =
                    watches.stream()
                            .filter(watch -> watch.kinds().contains(operation.kind()))
                            .toList();
            watches.removeAll(woken);
        }
        woken.forEach(this::answer);
        return answer;
    }

    private void watch(Operation operation, Consumer<ApiResponse> result) {
        Watch watch =
                new Watch(
                        operation.kinds(),
                        operation.versionOrRevision(),
                        result,
                        new AtomicBoolean());
        synchronized (this) {
            boolean ready =
                    objects.compactedSince(watch.after())
                            || !objects.changesSince(watch.kinds(), watch.after()).isEmpty();
            if (!ready && operation.waitMs() > 0) {
                watches.add(watch);
                timers.schedule(() -> expire(watch), operation.waitMs(), TimeUnit.MILLISECONDS);
                return;
            }
        }
        answer(watch);
    }

    private void expire(Watch watch) {
        synchronized (this) {
            watches.remove(watch);
        }
        answer(watch);
    }

    private void answer(Watch watch) {
        if (watch.answered().compareAndSet(false, true)) {
            watch.result().accept(changes(watch));
        }
    }

    private synchronized ApiResponse changes(Watch watch) {
        if (objects.compactedSince(watch.after())) {
            return ApiResponse.of(410, Json.object().put("error", "compacted; list again"));
        }
        ObjectNode body = Json.object().put("revision", objects.revision());
        ArrayNode list = body.putArray("changes");
        objects.changesSince(watch.kinds(), watch.after())
                .forEach(change -> list.add(change.toJson()));
        return ApiResponse.ok(body);
    }

    private record Watch(
            Set<String> kinds, long after, Consumer<ApiResponse> result, AtomicBoolean answered) {}
}
