package org.sardinelift.gateway.call;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.plan.RoutePlan;
import org.sardinelift.gateway.call.ErrorResponses.Kind;
import org.sardinelift.gateway.job.JobApi.JobCall;
import org.sardinelift.gateway.job.JobPaths;
import org.sardinelift.gateway.peer.PeerNetwork;
import org.sardinelift.http.BufferedHttpResponse;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpCallException;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.runtime.log.LogEvent;

/**
 * Forwards callers' batch job calls to workers, one after the other until one answers; each of
 * these calls may be repeated. Used on the event loop.
 */
final class JobProxy {
    /** A worker stores a job in a few calls of the store; this is twice the time of a slow one. */
    private static final Duration SUBMIT_TIMEOUT = Duration.ofMillis(900);

    private static final Duration READ_TIMEOUT = Duration.ofMillis(700);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final String RETRY_AFTER_HEADER = "Retry-After";
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int OUTCOME_UNKNOWN = 504;

    private final PeerNetwork network;
    private final HttpClient client;
    private final String zone;
    private final ShutdownGuard shutdownGuard;
    private long callCount;

    JobProxy(PeerNetwork network, HttpClient client, String zone, ShutdownGuard shutdownGuard) {
        this.shutdownGuard = shutdownGuard;
        this.network = network;
        this.client = client;
        this.zone = zone;
    }

    void submit(HttpExchange exchange, String job, String team, RoutePlan route) {
        String host = exchange.header("host") == null ? "" : exchange.header("host");
        String uri = JobPaths.submitUri(job, team, route, host);
        new ProxiedCall(exchange, job, "POST", uri, exchange.body(), SUBMIT_TIMEOUT)
                .tryNextWorker();
    }

    void forward(HttpExchange exchange, JobCall call, String team) {
        long waitMs = call instanceof JobCall.Results results ? results.waitMs() : 0;
        String method = call instanceof JobCall.End ? "DELETE" : "GET";
        Duration timeout = READ_TIMEOUT.plusMillis(waitMs);
        new ProxiedCall(
                        exchange,
                        call.job(),
                        method,
                        JobPaths.callUri(call, team),
                        new byte[0],
                        timeout)
                .tryNextWorker();
    }

    /** One call and the workers that remain to be tried. */
    private final class ProxiedCall {
        private final HttpExchange exchange;
        private final String job;
        private final String method;
        private final String uri;
        private final byte[] body;
        private final Duration timeout;
        private final Iterator<Peer> workers;
        private boolean mayBeStored;
        private int workersTried;

        ProxiedCall(
                HttpExchange exchange,
                String job,
                String method,
                String uri,
                byte[] body,
                Duration timeout) {
            this.exchange = exchange;
            this.job = job;
            this.method = method;
            this.uri = uri;
            this.body = body;
            this.timeout = timeout;
            this.workers =
                    network.peers()
                            .inPreferenceOrder(
                                    PeerRole.WORKER, zone, callCount++, System.nanoTime())
                            .iterator();
        }

        void tryNextWorker() {
            if (!exchange.isOpen()) {
                return;
            }
            if (!shutdownGuard.allows(timeout)) {
                refuseForShutdown();
                return;
            }
            if (!workers.hasNext()) {
                refuse();
                return;
            }
            Peer worker = workers.next();
            workersTried++;
            HttpCall call =
                    HttpCall.of(worker.host(), worker.port(), method, uri, Map.of(), body, timeout);
            client.call(method.equals("GET") ? call.repeatable() : call)
                    .whenComplete((answer, error) -> onAnswer(worker, answer, error));
        }

        private void refuseForShutdown() {
            if (mayBeStored) {
                refuse();
            } else {
                shutdownGuard.refuse(exchange, job, timeout);
            }
        }

        private void refuse() {
            Kind kind = mayBeStored ? Kind.WORKER_FAILED : Kind.NO_WORKER;
            ErrorResponses.send(
                    exchange,
                    kind,
                    job,
                    method + ": " + workersTried + " workers tried, none succeeded",
                    mayBeStored ? null : RETRY_AFTER);
        }

        private void onAnswer(
                Peer worker, @Nullable BufferedHttpResponse answer, @Nullable Throwable error) {
            if (answer == null) {
                mayBeStored |= mayHaveBeenReceived(error);
                log(worker, 0, String.valueOf(error));
                tryNextWorker();
            } else if (answer.status() == UNAVAILABLE || answer.status() == OUTCOME_UNKNOWN) {
                mayBeStored |= answer.status() == OUTCOME_UNKNOWN;
                log(worker, answer.status(), answer.text());
                tryNextWorker();
            } else {
                if (!method.equals("GET") || answer.status() != OK) {
                    log(worker, answer.status(), null);
                }
                exchange.respond(answer.status(), headers(answer), answer.body());
            }
        }

        private void log(Peer worker, int status, @Nullable String reason) {
            LogEvent.of("job.call")
                    .with("job", job)
                    .with("method", method)
                    .with("worker", worker.name())
                    .with("status", status)
                    .with("reason", reason)
                    .info();
        }
    }

    private static Map<String, String> headers(BufferedHttpResponse answer) {
        Map<String, String> headers = new LinkedHashMap<>();
        String type = answer.header("content-type");
        headers.put("Content-Type", type == null ? "application/json" : type);
        String retryAfter = answer.header(RETRY_AFTER_HEADER);
        if (retryAfter != null) {
            headers.put(RETRY_AFTER_HEADER, retryAfter);
        }
        return headers;
    }

    private static boolean mayHaveBeenReceived(@Nullable Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        return !(cause instanceof HttpCallException failure) || failure.mayHaveRun();
    }
}
