package org.sardinelift.bench.load;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;

/** Sends requests at planned times (open loop) or with fixed concurrency (closed loop). */
public final class LoadGenerator {
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(30);
    private static final double NANOS_PER_SECOND = 1e9;

    private final HttpClient client;
    private final RequestTemplate template;

    private LoadGenerator(HttpClient client, RequestTemplate template) {
        this.client = client;
        this.template = template;
    }

    /**
     * Creates a generator.
     *
     * @param client HTTP client to send with
     * @param template template of the requests
     * @return the generator
     */
    public static LoadGenerator of(HttpClient client, RequestTemplate template) {
        return new LoadGenerator(client, template);
    }

    /**
     * Sends all arrivals to one endpoint on time, without waiting for earlier answers, then waits
     * for the answers.
     *
     * @param arrivals the arrivals in order of time
     * @param endpoint address they are sent to
     * @return the results
     */
    public LoadResult send(List<Arrival> arrivals, Endpoint endpoint) {
        LoadResult result = new LoadResult();
        send(arrivals, arrival -> endpoint, arrival -> result);
        return result;
    }

    /**
     * Sends each arrival to its own endpoint on time, without waiting for earlier answers, then
     * waits for the answers.
     *
     * @param arrivals the arrivals in order of time
     * @param endpoints address that each is sent to
     * @param results result that each is recorded in
     */
    public void send(
            List<Arrival> arrivals,
            Function<Arrival, Endpoint> endpoints,
            Function<Arrival, LoadResult> results) {
        CountDownLatch unanswered = new CountDownLatch(arrivals.size());
        long start = System.nanoTime();
        for (Arrival arrival : arrivals) {
            long planned = start + arrival.atNanos();
            while (System.nanoTime() - planned < 0) {
                LockSupport.parkNanos(planned - System.nanoTime());
            }
            LoadResult result = results.apply(arrival);
            sendOne(arrival, planned, endpoints.apply(arrival), result)
                    .thenRun(unanswered::countDown);
        }
        await(unanswered);
        double seconds = (System.nanoTime() - start) / NANOS_PER_SECOND;
        arrivals.stream().map(results).distinct().forEach(result -> result.onEnd(seconds));
    }

    /**
     * Keeps a number of requests in flight: each answer triggers the next request (closed loop).
     *
     * @param team team that sends
     * @param concurrency requests in flight
     * @param duration time after which no further requests are sent
     * @param endpoint address they are sent to
     * @return the results
     */
    public LoadResult saturate(
            TeamLoad team, int concurrency, Duration duration, Endpoint endpoint) {
        LoadResult result = new LoadResult();
        CountDownLatch activeLoops = new CountDownLatch(concurrency);
        AtomicInteger numbers = new AtomicInteger();
        long start = System.nanoTime();
        ClosedLoop loop =
                new ClosedLoop(
                        team, endpoint, start + duration.toNanos(), numbers, activeLoops, result);
        IntStream.range(0, concurrency).forEach(each -> sendNext(loop));
        await(activeLoops);
        result.onEnd((System.nanoTime() - start) / NANOS_PER_SECOND);
        return result;
    }

    private void sendNext(ClosedLoop loop) {
        long now = System.nanoTime();
        if (now - loop.endNanos() >= 0) {
            loop.activeRequests().countDown();
            return;
        }
        Arrival arrival = new Arrival(now, loop.team(), true, loop.numbers().getAndIncrement());
        sendOne(arrival, now, loop.endpoint(), loop.result()).thenRunAsync(() -> sendNext(loop));
    }

    private CompletableFuture<Sample> sendOne(
            Arrival arrival, long plannedNanos, Endpoint endpoint, LoadResult result) {
        StreamTimer timer = new StreamTimer(arrival, plannedNanos, result::onGap);
        result.onSend();
        client.send(call(arrival, endpoint), timer);
        return timer.result().whenComplete((sample, error) -> result.onSample(sample));
    }

    /** State shared by the requests of one closed loop. */
    private record ClosedLoop(
            TeamLoad team,
            Endpoint endpoint,
            long endNanos,
            AtomicInteger numbers,
            CountDownLatch activeRequests,
            LoadResult result) {}

    private HttpCall call(Arrival arrival, Endpoint endpoint) {
        return HttpCall.of(
                endpoint.host(),
                endpoint.port(),
                "POST",
                "/v1/chat/completions",
                Map.of(
                        "content-type", "application/json",
                        "authorization", "Bearer " + arrival.team().key(),
                        "x-request-id", template.runName() + "-" + arrival.number()),
                template.body(arrival.number()).getBytes(StandardCharsets.UTF_8),
                READ_TIMEOUT);
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(2 * READ_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
