package org.sardinelift.gateway.job;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.joblog.CopyCount;
import org.sardinelift.core.joblog.JobProgress;
import org.sardinelift.core.joblog.JobSpec;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.gateway.SpoolSettings;
import org.sardinelift.gateway.feed.StoreAvailability;
import org.sardinelift.gateway.peer.PeerNetwork;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpCallException;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.runtime.log.LogEvent;

/**
 * Writes jobs to the disks of several workers while the store is unavailable, and moves them to the
 * store later. A job counts as accepted once it is on one disk more than may be lost at once. On
 * the event loop.
 */
final class JobSpool implements PeerNetwork.Listener {
    /** Path of the call by which workers send copies to each other. */
    private static final String COPY_PATH = "/spool";

    /** Several times the sync of a slow disk and the round trip to another zone. */
    private static final Duration COPY_TIMEOUT = Duration.ofMillis(300);

    private static final Duration STORE_INTERVAL = Duration.ofMillis(400);

    /** Time after an outage in which only the worker that accepted a job stores it. */
    private static final Duration ACCEPTING_WORKER_HEAD_START = Duration.ofMillis(2_000);

    /** Bound of an attempt to store a job; the next one follows after the interval. */
    private static final Duration STORE_TIMEOUT = Duration.ofMillis(700);

    private static final int MAX_JOBS = 400;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final @Nullable SpoolSettings settings;
    private final @Nullable SpoolFolder folder;
    private final JobApi jobApi;
    private final JobRegistry jobs;
    private final JobStorage storage;
    private final StoreAvailability storeAvailability;
    private final PeerNetwork network;
    private final HttpClient client;
    private final EventLoop loop;
    private final Map<String, PendingJob> pendingJobs = new HashMap<>();

    /** A job that is not in the store yet. */
    private static final class PendingJob {
        private final Job job;
        private final boolean isAcceptedHere;
        private boolean isStoring;

        PendingJob(Job job, boolean isAcceptedHere) {
            this.job = job;
            this.isAcceptedHere = isAcceptedHere;
        }
    }

    /** The copy of a job on a disk, with the header that the store will hold. */
    record Job(String id, JobCodec.Header header) {
        String toJson() {
            return MAPPER.createObjectNode()
                    .put("id", id)
                    .put("header", JobCodec.encodeHeader(header))
                    .toString();
        }

        static Job fromJson(String text) {
            try {
                JsonNode node = MAPPER.readTree(text);
                return new Job(
                        node.path("id").asText(),
                        JobCodec.decodeHeader(node.path("header").asText()));
            } catch (JsonProcessingException e) {
                throw new IllegalArgumentException(e.getOriginalMessage(), e);
            }
        }
    }

    JobSpool(
            @Nullable SpoolSettings settings,
            JobApi jobApi,
            JobRegistry jobs,
            JobStorage storage,
            StoreAvailability storeAvailability,
            PeerNetwork network,
            HttpClient client,
            EventLoop loop) {
        this.settings = settings;
        this.folder = settings == null ? null : SpoolFolder.open(settings.folder());
        this.jobApi = jobApi;
        this.jobs = jobs;
        this.storage = storage;
        this.storeAvailability = storeAvailability;
        this.network = network;
        this.client = client;
        this.loop = loop;
    }

    /** Restores the jobs that are on the disk from before the start. */
    void start(Duration retention) {
        if (folder == null) {
            return;
        }
        List<String> documents = folder.load();
        loop.execute(
                () -> {
                    documents.forEach(text -> restore(text, retention));
                    storePending();
                });
    }

    /** Sends copies to a worker that joins, since earlier copies may be lost. */
    @Override
    public void onReport(Peer peer, boolean hasJoined) {
        if (hasJoined && peer.role() == PeerRole.WORKER) {
            List.copyOf(pendingJobs.values()).forEach(pending -> copyTo(peer, pending.job));
        }
    }

    private void restore(String text, Duration retention) {
        try {
            restore(Job.fromJson(text), retention);
        } catch (IllegalArgumentException e) {
            // The file is kept for an operator to inspect; the other jobs are restored.
            LogEvent.of("spool.unreadable").with("reason", e.getMessage()).error();
        }
    }

    private void restore(Job job, Duration retention) {
        long ageMs = System.currentTimeMillis() - job.header().submittedMs();
        LogEvent.of("spool.found").with("job", job.id()).with("age_ms", ageMs).info();
        if (ageMs > retention.toMillis()) {
            // Another worker may have stored, closed and removed it long ago.
            folder().delete(job.id());
        } else {
            addPending(job, false);
        }
    }

    private SpoolFolder folder() {
        return Objects.requireNonNull(folder);
    }

    /** Whether this worker has a disk for jobs. */
    boolean isEnabled() {
        return settings != null;
    }

    /** Whether a job is not in the store yet, so that its records must not be stored. */
    boolean isPending(String job) {
        return pendingJobs.containsKey(job);
    }

    /** Whether no job waits for the store. */
    boolean isEmpty() {
        return pendingJobs.isEmpty();
    }

    private JobProgress addPending(Job job, boolean isAcceptedHere) {
        pendingJobs.putIfAbsent(job.id(), new PendingJob(job, isAcceptedHere));
        return jobs.add(toSpec(job));
    }

    private JobSpec toSpec(Job job) {
        JobCodec.Header header = job.header();
        return new JobSpec(
                job.id(),
                header.team(),
                header.route(),
                header.host(),
                header.submittedMs(),
                jobApi.parseItems(header.document().getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Writes a job to the disks of this worker and of all other workers.
     *
     * @return the outcome, once enough disks hold the job or no more answers are expected
     */
    CompletableFuture<CopyCount.Outcome> storeCopies(String id, JobCodec.Header header) {
        if (settings == null || pendingJobs.size() >= MAX_JOBS) {
            return CompletableFuture.completedFuture(CopyCount.Outcome.NOT_KEPT);
        }
        Job job = new Job(id, header);
        List<Peer> others = network.peers().livePeers(PeerRole.WORKER, System.nanoTime()).toList();
        CopyCount count = CopyCount.of(settings.requiredCopies(), others.size() + 1);
        CompletableFuture<CopyCount.Outcome> outcome = new CompletableFuture<>();
        if (!count.canSuffice()) {
            return CompletableFuture.completedFuture(CopyCount.Outcome.NOT_KEPT);
        }
        folder().write(id, job.toJson())
                .thenAcceptAsync(
                        isWritten -> {
                            count.onAnswer(isWritten);
                            if (isWritten) {
                                addPending(job, true);
                            }
                            count.outcome().ifPresent(outcome::complete);
                        },
                        loop);
        others.forEach(
                peer ->
                        copyTo(peer, job)
                                .thenAccept(
                                        kept -> {
                                            kept.ifPresentOrElse(
                                                    count::onAnswer, count::onNoAnswer);
                                            count.outcome().ifPresent(outcome::complete);
                                        }));
        return outcome.thenApply(
                result -> {
                    LogEvent.of("job.spooled")
                            .with("job", id)
                            .with("outcome", result.name())
                            .with("copies", count.copies())
                            .with("wanted", settings.requiredCopies())
                            .with("asked", others.size())
                            .info();
                    return result;
                });
    }

    /** Returns true if the peer holds the copy, false if it doesn't, empty if that is unknown. */
    private CompletableFuture<Optional<Boolean>> copyTo(Peer peer, Job job) {
        byte[] body = job.toJson().getBytes(StandardCharsets.UTF_8);
        HttpCall call =
                HttpCall.of(
                        peer.host(), peer.port(), "POST", COPY_PATH, Map.of(), body, COPY_TIMEOUT);
        return client.call(call)
                .handle(
                        (answer, error) -> {
                            if (answer != null) {
                                return Optional.of(answer.status() == OK);
                            }
                            Throwable cause = error.getCause() == null ? error : error.getCause();
                            boolean isUnclear =
                                    !(error instanceof HttpCallException failure)
                                            || failure.mayHaveRun();
                            LogEvent.of("spool.copy_failed")
                                    .with("job", job.id())
                                    .with("peer", peer.name())
                                    .with("reason", cause.toString())
                                    .info();
                            return isUnclear ? Optional.empty() : Optional.of(false);
                        });
    }

    /** Handles a copy from another worker; returns false for any other call. */
    boolean handle(HttpExchange exchange) {
        if (!exchange.path().equals(COPY_PATH)) {
            return false;
        }
        if (folder == null || pendingJobs.size() >= MAX_JOBS) {
            exchange.respondJson(
                    UNAVAILABLE, "{\"detail\":\"the worker has no spool or its spool is full\"}");
            return true;
        }
        try {
            Job job = Job.fromJson(exchange.bodyText());
            toSpec(job);
            folder.write(job.id(), job.toJson())
                    .thenAcceptAsync(isWritten -> onCopyWritten(exchange, job, isWritten), loop);
        } catch (IllegalArgumentException e) {
            exchange.respondJson(BAD_REQUEST, "{\"detail\":\"malformed copy of a job\"}");
        }
        return true;
    }

    private void onCopyWritten(HttpExchange exchange, Job job, boolean isWritten) {
        if (isWritten) {
            addPending(job, false);
        }
        exchange.respondJson(isWritten ? OK : UNAVAILABLE, "{}");
    }

    /** The job is in the store, so that its copy here is deleted. */
    void onJobStored(String job) {
        if (pendingJobs.remove(job) != null) {
            folder().delete(job);
            LogEvent.of("spool.stored").with("job", job).with("left", pendingJobs.size()).info();
        }
    }

    private void storePending() {
        loop.schedule(this::storePending, STORE_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        if (!storeAvailability.isAvailable()) {
            return;
        }
        boolean isHeadStart =
                storeAvailability.nanosSinceRegained() < ACCEPTING_WORKER_HEAD_START.toNanos();
        Collection<PendingJob> due =
                pendingJobs.values().stream()
                        .filter(pending -> !pending.isStoring)
                        .filter(pending -> pending.isAcceptedHere || !isHeadStart)
                        .toList();
        due.forEach(this::store);
    }

    private void store(PendingJob pending) {
        pending.isStoring = true;
        long deadline = System.nanoTime() + STORE_TIMEOUT.toNanos();
        JobCodec.Header header = pending.job.header();
        storage.createJob(pending.job.id(), header, header.document(), deadline)
                .thenAccept(
                        created -> {
                            pending.isStoring = false;
                            if (created.exists()) {
                                onJobStored(pending.job.id());
                            }
                        });
    }
}
