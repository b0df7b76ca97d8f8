package org.sardinelift.gateway.job;

import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.joblog.CopyCount;
import org.sardinelift.core.joblog.ItemResult;
import org.sardinelift.core.joblog.JobItem;
import org.sardinelift.core.joblog.JobProgress;
import org.sardinelift.core.joblog.JobSpec;
import org.sardinelift.core.joblog.WaitingTokenLimit;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.gateway.feed.StoreAvailability;
import org.sardinelift.gateway.peer.PeerNetwork;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.runtime.log.LogEvent;

/** Answers gateways' calls about batch jobs. On the event loop. */
final class JobService {
    private static final Duration SUBMIT_TIMEOUT = Duration.ofMillis(750);

    /** Several usual response times of the store; a job is then written to disks as well. */
    private static final Duration SPOOL_DELAY = Duration.ofMillis(100);

    /** Several heartbeats, in which all live workers report after a start. */
    static final Duration PEER_DISCOVERY_TIME = Duration.ofSeconds(3);

    private static final Duration END_TIMEOUT = Duration.ofMillis(500);

    /** Older state may lack a result that a caller has already read from another worker. */
    private static final Duration MAX_STALENESS = Duration.ofMillis(700);

    /** Time in which some waiting items finish. */
    private static final Duration OVER_LIMIT_RETRY_AFTER = Duration.ofSeconds(1);

    private static final int MAX_PAGE_BYTES = 700_000;
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final int OUTCOME_UNKNOWN = 504;
    private static final int MAX_ITEMS = 200;
    private static final String OVER_LIMIT_DETAIL =
            "{\"kind\":\"over_waiting_tokens\",\"outcome\":\"not_run\",\"detail\":\"the team's"
                    + " batch items that wait on this route have too many tokens; send the job"
                    + " again when some have finished\"}";

    private final JobApi jobApi;
    private final JobRegistry jobs;
    private final JobFeed feed;
    private final JobStorage storage;
    private final JobSpool spool;
    private final StoreAvailability storeAvailability;
    private final PeerNetwork network;
    private final EventLoop loop;
    private final Consumer<JobProgress> acceptedListener;
    private final JobAdmission admission;
    private final long startedAt = System.nanoTime();
    private final Map<String, List<Waiter>> waiters = new HashMap<>();

    /** A read that waits for a result. */
    private record Waiter(HttpExchange exchange, int firstPosition, long deadline) {}

    JobService(
            String instance,
            JobApi jobApi,
            JobRegistry jobs,
            JobFeed feed,
            JobStorage storage,
            JobSpool spool,
            StoreAvailability storeAvailability,
            PeerNetwork network,
            EventLoop loop,
            Consumer<JobProgress> acceptedListener) {
        this.admission = new JobAdmission(instance, jobs, feed, network);
        this.jobApi = jobApi;
        this.jobs = jobs;
        this.feed = feed;
        this.storage = storage;
        this.spool = spool;
        this.storeAvailability = storeAvailability;
        this.network = network;
        this.loop = loop;
        this.acceptedListener = acceptedListener;
    }

    /** Answers a call about a job; returns false if the path is another one. */
    boolean handle(HttpExchange exchange) {
        String path = exchange.path();
        if (!path.startsWith(JobPaths.PREFIX)) {
            return false;
        }
        String rest = path.substring(JobPaths.PREFIX.length());
        int items = rest.indexOf(JobPaths.ITEMS);
        if (exchange.method().equals("POST")) {
            submit(exchange, rest);
        } else if (exchange.method().equals("DELETE")) {
            withJob(exchange, rest, job -> endJob(exchange, job));
        } else if (items > 0) {
            String item = rest.substring(items + JobPaths.ITEMS.length());
            withJob(
                    exchange,
                    rest.substring(0, items),
                    job -> respondWithItemBody(exchange, job, item));
        } else if (rest.endsWith(JobPaths.RESULTS)) {
            String job = rest.substring(0, rest.length() - JobPaths.RESULTS.length());
            withJob(exchange, job, found -> respondWithResults(exchange, found));
        } else {
            respond(exchange, NOT_FOUND, "no such call");
        }
        return true;
    }

    private void submit(HttpExchange exchange, String id) {
        if (jobs.find(id).isPresent()) {
            respond(exchange, ACCEPTED, "already accepted");
            return;
        }
        List<JobItem> items;
        try {
            items = jobApi.parseItems(exchange.body());
        } catch (IllegalArgumentException e) {
            respond(exchange, BAD_REQUEST, "malformed job: " + e.getMessage());
            return;
        }
        if (items.isEmpty() || items.size() > MAX_ITEMS) {
            respond(exchange, BAD_REQUEST, "a job has 1 to " + MAX_ITEMS + " items");
            return;
        }
        Optional<String> fault =
                items.stream()
                        .flatMap(item -> ItemTargets.findRequestFault(item).stream())
                        .findFirst();
        if (fault.isPresent()) {
            respond(exchange, BAD_REQUEST, "an item can't be sent to a target: " + fault.get());
            return;
        }
        JobSpec spec =
                new JobSpec(
                        id,
                        queryParameter(exchange, JobPaths.TEAM),
                        queryParameter(exchange, JobPaths.ROUTE),
                        queryParameter(exchange, JobPaths.HOST),
                        System.currentTimeMillis(),
                        items);
        WaitingTokenLimit.Decision decision =
                admission.tryReserve(spec, numericParameter(exchange, JobPaths.MAX_WAITING_TOKENS));
        if (decision == WaitingTokenLimit.Decision.FITS) {
            String document = new String(exchange.body(), StandardCharsets.UTF_8);
            new Submission(exchange, spec, document).start();
        } else if (decision == WaitingTokenLimit.Decision.EXCEEDS) {
            refuseUnlessAccepted(exchange, spec);
        } else {
            respond(exchange, UNAVAILABLE, "this worker can't tell whether the job fits");
        }
    }

    /** The repeat of a job that another worker has accepted is accepted again. */
    private void refuseUnlessAccepted(HttpExchange exchange, JobSpec spec) {
        loadJob(spec.id())
                .thenAccept(
                        found -> {
                            if (found.isEmpty()) {
                                respond(exchange, UNAVAILABLE, "the store doesn't answer");
                            } else if (found.get()) {
                                respond(exchange, ACCEPTED, "already accepted");
                            } else if (mayBeKnownElsewhere(spec.id())) {
                                respond(exchange, UNAVAILABLE, "another worker may know the job");
                            } else {
                                exchange.respond(
                                        TOO_MANY_REQUESTS,
                                        Map.of(
                                                "content-type",
                                                "application/json",
                                                "retry-after",
                                                Long.toString(OVER_LIMIT_RETRY_AFTER.toSeconds())),
                                        OVER_LIMIT_DETAIL.getBytes(StandardCharsets.UTF_8));
                            }
                        });
    }

    /** One submission, in progress until the store or enough disks hold the job. */
    private final class Submission {
        private final HttpExchange exchange;
        private final JobSpec spec;
        private final JobCodec.Header header;
        private JobStorage.@Nullable CreateResult storeResult;
        private CopyCount.@Nullable Outcome spoolOutcome;
        private boolean isSpooling;
        private boolean isAnswered;

        Submission(HttpExchange exchange, JobSpec spec, String document) {
            this.exchange = exchange;
            this.spec = spec;
            this.header =
                    new JobCodec.Header(
                            spec.team(),
                            spec.route(),
                            spec.host(),
                            spec.submittedMs(),
                            0,
                            document);
        }

        void start() {
            long deadline = System.nanoTime() + SUBMIT_TIMEOUT.toNanos();
            storage.createJob(spec.id(), header, header.document(), deadline)
                    .thenAccept(this::onStored);
            if (storeAvailability.isAvailable()) {
                loop.schedule(this::storeOnDisks, SPOOL_DELAY.toNanos(), TimeUnit.NANOSECONDS);
            } else {
                storeOnDisks();
            }
        }

        private void storeOnDisks() {
            if (!isAnswered && !isSpooling) {
                isSpooling = true;
                spool.storeCopies(spec.id(), header).thenAccept(this::onSpooled);
            }
        }

        private void onStored(JobStorage.CreateResult result) {
            storeResult = result;
            WorkerMetrics.countSubmission(result.label());
            if (result == JobStorage.CreateResult.EXISTED && jobs.find(spec.id()).isEmpty()) {
                acceptExisting();
            } else if (result.exists()) {
                spool.onJobStored(spec.id());
                accept();
            } else {
                storeOnDisks();
                refuseIfBothFailed();
            }
        }

        private void onSpooled(CopyCount.Outcome outcome) {
            spoolOutcome = outcome;
            if (outcome == CopyCount.Outcome.KEPT) {
                WorkerMetrics.countSubmission("spooled");
                accept();
            } else {
                refuseIfBothFailed();
            }
        }

        /**
         * Another worker has accepted the job, which may have ended since: what the store holds of
         * it is read before any of its items may run here.
         */
        private void acceptExisting() {
            loadJob(spec.id())
                    .thenAccept(
                            found -> {
                                if (found.orElse(false)) {
                                    accept();
                                } else {
                                    // The feed adds it once the store answers.
                                    admission.onRefused(spec, true);
                                    respondOnce(ACCEPTED, "already accepted");
                                }
                            });
        }

        private void accept() {
            JobProgress job = jobs.add(spec);
            admission.onAccepted(spec);
            acceptedListener.accept(job);
            respondOnce(ACCEPTED, "accepted");
        }

        private void refuseIfBothFailed() {
            if (storeResult == null || spoolOutcome == null) {
                return;
            }
            boolean mayBeStored =
                    storeResult == JobStorage.CreateResult.UNCLEAR
                            || spoolOutcome == CopyCount.Outcome.UNCLEAR;
            admission.onRefused(spec, mayBeStored);
            if (mayBeStored) {
                respondOnce(OUTCOME_UNKNOWN, "the job may have been stored");
            } else {
                respondOnce(UNAVAILABLE, "neither the store nor enough disks could store the job");
            }
        }

        private void respondOnce(int status, String detail) {
            if (isAnswered) {
                return;
            }
            isAnswered = true;
            LogEvent.of("job.submitted")
                    .with("job", spec.id())
                    .with("team", spec.team())
                    .with("items", spec.items().size())
                    .with("status", status)
                    .with("stored", storeResult == null ? "pending" : storeResult.name())
                    .with("spooled", spoolOutcome == null ? null : spoolOutcome.name())
                    .info();
            respond(exchange, status, detail);
        }
    }

    private void withJob(HttpExchange exchange, String id, Consumer<JobProgress> action) {
        Optional<JobProgress> known = jobs.find(id);
        if (known.isPresent()) {
            checkTeam(exchange, known.get(), action);
            return;
        }
        loadJob(id)
                .thenAccept(
                        found -> {
                            if (found.isEmpty()) {
                                respond(exchange, UNAVAILABLE, "the store doesn't answer");
                            } else if (!found.get() && mayBeKnownElsewhere(id)) {
                                respond(exchange, UNAVAILABLE, "another worker may know the job");
                            } else if (!found.get()) {
                                respond(exchange, NOT_FOUND, "no such job");
                            } else {
                                checkTeam(exchange, jobs.find(id).orElseThrow(), action);
                            }
                        });
    }

    /**
     * Whether another worker may know a job that is not in the store because only disks hold it so
     * far. The worker that runs such a job reports it, so that only a worker that receives the
     * reports of all others may answer that there is no such job.
     */
    private boolean mayBeKnownElsewhere(String id) {
        long now = System.nanoTime();
        long hash = ItemRunner.hash(id);
        boolean hasJustStarted = now - startedAt < PEER_DISCOVERY_TIME.toNanos();
        return spool.isEnabled()
                && (hasJustStarted
                        || !network.peers().isEveryPeerLive(PeerRole.WORKER, now)
                        || network.peers()
                                .livePeers(PeerRole.WORKER, now)
                                .anyMatch(peer -> peer.jobHashes().contains(hash)));
    }

    private void checkTeam(HttpExchange exchange, JobProgress job, Consumer<JobProgress> action) {
        if (job.spec().team().equals(queryParameter(exchange, JobPaths.TEAM))) {
            action.accept(job);
        } else {
            respond(exchange, NOT_FOUND, "no such job of this team");
        }
    }

    /**
     * Reads all that the store holds of a job; returns whether it exists, or empty if the store
     * doesn't answer.
     */
    private CompletableFuture<Optional<Boolean>> loadJob(String id) {
        return storage.read(new JobObject.Header(id))
                .thenCompose(
                        result -> {
                            if (result instanceof ReadResult.Absent) {
                                return CompletableFuture.completedFuture(Optional.of(false));
                            }
                            if (!(result instanceof ReadResult.Found found)) {
                                return CompletableFuture.completedFuture(Optional.empty());
                            }
                            return loadRest(id, found.object())
                                    .exceptionally(error -> logUnreadable(id, error));
                        });
    }

    private CompletableFuture<Optional<Boolean>> loadRest(String id, StoredObject header) {
        List<StoredObject> objects = new ArrayList<>(List.of(header));
        return CompletableFuture.completedFuture(header.value())
                .thenApply(value -> JobCodec.decodeHeader(value).parts())
                .thenCompose(parts -> loadParts(id, 0, parts, objects))
                .thenCompose(ignored -> load(new JobObject.End(id), objects))
                .thenCompose(
                        end ->
                                end.isEmpty()
                                        ? CompletableFuture.completedFuture(false)
                                        : loadRecords(id, 0, objects))
                .thenApply(
                        isComplete -> {
                            if (isComplete) {
                                jobs.applyAll(objects);
                            }
                            return jobs.find(id).isPresent()
                                    ? Optional.of(true)
                                    : Optional.<Boolean>empty();
                        });
    }

    private static Optional<Boolean> logUnreadable(String id, Throwable error) {
        LogEvent.of("job.unreadable").with("object", id).with("reason", error.toString()).error();
        return Optional.empty();
    }

    /** Reads an object; returns whether it exists, or empty if the store doesn't answer. */
    private CompletableFuture<Optional<Boolean>> load(
            JobObject object, List<StoredObject> objects) {
        return storage.read(object)
                .thenApply(
                        result -> {
                            if (result instanceof ReadResult.Found found) {
                                objects.add(found.object());
                                return Optional.of(true);
                            }
                            return result instanceof ReadResult.Absent
                                    ? Optional.of(false)
                                    : Optional.empty();
                        });
    }

    private CompletableFuture<Boolean> loadParts(
            String id, int number, int parts, List<StoredObject> objects) {
        return number == parts
                ? CompletableFuture.completedFuture(true)
                : load(new JobObject.Part(id, number), objects)
                        .thenCompose(
                                found ->
                                        found.orElse(false)
                                                ? loadParts(id, number + 1, parts, objects)
                                                : CompletableFuture.completedFuture(false));
    }

    /** Reads the records up to the first that doesn't exist; false if the store doesn't answer. */
    private CompletableFuture<Boolean> loadRecords(
            String id, int number, List<StoredObject> objects) {
        return load(new JobObject.Record(id, number), objects)
                .thenCompose(
                        found ->
                                found.orElse(false)
                                        ? loadRecords(id, number + 1, objects)
                                        : CompletableFuture.completedFuture(found.isPresent()));
    }

    private void endJob(HttpExchange exchange, JobProgress job) {
        if (job.hasEnded()) {
            respond(exchange, OK, "ended");
            return;
        }
        String id = job.spec().id();
        storage.createEnd(id, System.nanoTime() + END_TIMEOUT.toNanos())
                .thenAccept(
                        created -> {
                            LogEvent.of("job.end")
                                    .with("job", id)
                                    .with("stored", created.name())
                                    .info();
                            if (created.exists()) {
                                jobs.onJobEnded(job);
                                respond(exchange, OK, "ended");
                            } else {
                                respond(
                                        exchange,
                                        UNAVAILABLE,
                                        "the end of the job could not be stored");
                            }
                        });
    }

    private void respondWithItemBody(HttpExchange exchange, JobProgress job, String item) {
        Optional<JobItem> found = job.item(item);
        if (found.isEmpty()) {
            respond(exchange, NOT_FOUND, "no such item");
            return;
        }
        exchange.respond(
                OK, Map.of("content-type", "application/octet-stream"), found.get().body());
    }

    private void respondWithResults(HttpExchange exchange, JobProgress job) {
        int firstPosition =
                (int) Math.min(Integer.MAX_VALUE, numericParameter(exchange, JobPaths.AFTER));
        long waitMs = numericParameter(exchange, JobPaths.WAIT_MS);
        if (job.filledPositions() > firstPosition) {
            respondWithPage(exchange, job, firstPosition);
            return;
        }
        boolean isComplete = job.filledPositions() == job.spec().items().size();
        if (isComplete || waitMs <= 0) {
            respondWithEmptyPage(exchange, job, firstPosition);
            return;
        }
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        Waiter waiter = new Waiter(exchange, firstPosition, deadline);
        String id = job.spec().id();
        waiters.computeIfAbsent(id, key -> new ArrayList<>()).add(waiter);
        loop.schedule(() -> onWaitExpired(id, job, waiter), waitMs, TimeUnit.MILLISECONDS);
    }

    /** A job has changed: answers the reads whose result is now there. */
    void onJobChanged(JobProgress job) {
        List<Waiter> waiting = waiters.get(job.spec().id());
        if (waiting == null) {
            return;
        }
        List<Waiter> due =
                waiting.stream()
                        .filter(waiter -> job.filledPositions() > waiter.firstPosition())
                        .toList();
        due.forEach(waiter -> respondWithPage(waiter.exchange(), job, waiter.firstPosition()));
        waiting.removeAll(due);
        if (waiting.isEmpty()) {
            waiters.remove(job.spec().id());
        }
    }

    private void onWaitExpired(String id, JobProgress job, Waiter waiter) {
        List<Waiter> waiting = waiters.get(id);
        if (waiting == null || !waiting.remove(waiter)) {
            return;
        }
        if (waiting.isEmpty()) {
            waiters.remove(id);
        }
        respondWithEmptyPage(waiter.exchange(), job, waiter.firstPosition());
    }

    /** Answers that there is no result from a position on, after making sure of it. */
    private void respondWithEmptyPage(HttpExchange exchange, JobProgress job, int firstPosition) {
        boolean isComplete = job.filledPositions() == job.spec().items().size();
        if (isComplete || feed.staleNanos() < MAX_STALENESS.toNanos()) {
            respondWithPage(exchange, job, firstPosition);
            return;
        }
        storage.read(new JobObject.Record(job.spec().id(), job.nextRecord()))
                .thenAccept(
                        result -> {
                            if (result instanceof ReadResult.Found found) {
                                jobs.apply(found.object());
                                respondWithPage(exchange, job, firstPosition);
                            } else if (result instanceof ReadResult.Absent) {
                                respondWithPage(exchange, job, firstPosition);
                            } else {
                                respond(exchange, UNAVAILABLE, "the store doesn't answer");
                            }
                        });
    }

    private void respondWithPage(HttpExchange exchange, JobProgress job, int firstPosition) {
        List<ItemResult> page = job.results(firstPosition, MAX_PAGE_BYTES);
        int total = job.spec().items().size();
        exchange.respond(
                OK,
                Map.of("content-type", "application/json"),
                jobApi.formatResults(total, firstPosition + page.size(), page));
    }

    private static String queryParameter(HttpExchange exchange, String name) {
        @Nullable String value = exchange.query(name);
        return value == null ? "" : value;
    }

    private static long numericParameter(HttpExchange exchange, String name) {
        String text = queryParameter(exchange, name);
        return text.matches("\\d{1,18}") ? Long.parseLong(text) : 0;
    }

    private static void respond(HttpExchange exchange, int status, String detail) {
        exchange.respondJson(status, "{\"detail\":\"" + detail.replace('"', '\'') + "\"}");
    }
}
