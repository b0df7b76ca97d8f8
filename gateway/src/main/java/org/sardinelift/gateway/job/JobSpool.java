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
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.http.HttpFailure;
import org.sardinelift.runtime.log.Event;

/**
 * Keeps jobs on the disks of several workers while the store can't take them, and moves them to the
 * store once it can. A job counts as accepted when one disk more holds it than may be lost at once.
 * On the event loop.
 */
final class JobSpool implements PeerNetwork.Listener {
    /** Path of the call by which workers hand each other copies. */
    private static final String PATH = "/spool";

    /** Several times the sync of a slow disk and the way to another zone. */
    private static final Duration COPY_TIMEOUT = Duration.ofMillis(300);

    private static final Duration FLUSH_INTERVAL = Duration.ofMillis(400);

    /** Time for the worker that accepted a job to store it before the others try. */
    private static final Duration LEFT_TO_FIRST = Duration.ofMillis(2_000);

    /** Bound of a try; the next flush tries again. */
    private static final Duration STORE_BOUND = Duration.ofMillis(700);

    private static final int MAX_JOBS = 400;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final @Nullable SpoolSettings settings;
    private final @Nullable SpoolFolder folder;
    private final JobApi jobInterface;
    private final JobRegistry book;
    private final JobStorage storage;
    private final StoreAvailability contact;
    private final PeerNetwork network;
    private final HttpClient client;
    private final EventLoop loop;
    private final Map<String, Entry> entries = new HashMap<>();

    /** A job that waits for the store. */
    private static final class Entry {
        private final Job job;
        private final boolean acceptedHere;
        private boolean storing;

        Entry(Job job, boolean acceptedHere) {
            this.job = job;
            this.acceptedHere = acceptedHere;
        }
    }

    /** A job as it is kept: what its header in the store will hold. */
    record Job(String id, JobCodec.Header header) {
        String toJson() {
            return MAPPER.createObjectNode()
                    .put("id", id)
                    .put("header", JobCodec.header(header))
                    .toString();
        }

        static Job fromJson(String text) {
            try {
                JsonNode node = MAPPER.readTree(text);
                return new Job(
                        node.path("id").asText(), JobCodec.header(node.path("header").asText()));
            } catch (JsonProcessingException e) {
                throw new IllegalArgumentException(e.getOriginalMessage(), e);
            }
        }
    }

    JobSpool(
            @Nullable SpoolSettings settings,
            JobApi jobInterface,
            JobRegistry book,
            JobStorage storage,
            StoreAvailability contact,
            PeerNetwork network,
            HttpClient client,
            EventLoop loop) {
        this.settings = settings;
        this.folder = settings == null ? null : SpoolFolder.open(settings.folder());
        this.jobInterface = jobInterface;
        this.book = book;
        this.storage = storage;
        this.contact = contact;
        this.network = network;
        this.client = client;
        this.loop = loop;
    }

    /** Takes up what was kept before the start. */
    void start(Duration keep) {
        if (folder == null) {
            return;
        }
        List<String> kept = folder.load();
        loop.execute(
                () -> {
                    kept.forEach(text -> takeUp(text, keep));
                    flush();
                });
    }

    /** A worker that joins makes up for a copy that may be lost. */
    @Override
    public void onReport(Peer peer, boolean joined) {
        if (joined && peer.role() == PeerRole.WORKER) {
            List.copyOf(entries.values()).forEach(entry -> copyTo(peer, entry.job));
        }
    }

    private void takeUp(String text, Duration keep) {
        try {
            takeUp(Job.fromJson(text), keep);
        } catch (IllegalArgumentException e) {
            // The file stays for an operator to look at; the other jobs must not wait for it.
            Event.of("spool.unreadable").with("reason", e.getMessage()).error();
        }
    }

    private void takeUp(Job job, Duration keep) {
        long ageMs = System.currentTimeMillis() - job.header().submittedMs();
        Event.of("spool.found").with("job", job.id()).with("age_ms", ageMs).info();
        if (ageMs > keep.toMillis()) {
            // Others may have stored, closed and removed it long ago.
            folder().delete(job.id());
        } else {
            hold(job, false);
        }
    }

    private SpoolFolder folder() {
        return Objects.requireNonNull(folder);
    }

    /** Whether there is a disk to keep jobs on. */
    boolean isEnabled() {
        return settings != null;
    }

    /** Whether a job waits here for the store, so that nothing else of it may be stored yet. */
    boolean isPending(String job) {
        return entries.containsKey(job);
    }

    /** Whether nothing waits for the store. */
    boolean isEmpty() {
        return entries.isEmpty();
    }

    private JobProgress hold(Job job, boolean acceptedHere) {
        entries.putIfAbsent(job.id(), new Entry(job, acceptedHere));
        return book.add(spec(job));
    }

    private JobSpec spec(Job job) {
        JobCodec.Header header = job.header();
        return new JobSpec(
                job.id(),
                header.team(),
                header.route(),
                header.host(),
                header.submittedMs(),
                jobInterface.parseItems(header.document().getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Keeps a job on this disk and on those of the other workers.
     *
     * @return what became of it, once enough disks hold it or no more answers are to come
     */
    CompletableFuture<CopyCount.Outcome> storeCopies(String id, JobCodec.Header header) {
        if (settings == null || entries.size() >= MAX_JOBS) {
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
                        written -> {
                            count.onAnswer(written);
                            if (written) {
                                hold(job, true);
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
                    Event.of("job.spooled")
                            .with("job", id)
                            .with("outcome", result.name())
                            .with("copies", count.copies())
                            .with("wanted", settings.requiredCopies())
                            .with("asked", others.size())
                            .info();
                    return result;
                });
    }

    /** True where the peer holds the job, false where it doesn't, empty where nobody can tell. */
    private CompletableFuture<Optional<Boolean>> copyTo(Peer peer, Job job) {
        byte[] body = job.toJson().getBytes(StandardCharsets.UTF_8);
        HttpCall call =
                HttpCall.of(peer.host(), peer.port(), "POST", PATH, Map.of(), body, COPY_TIMEOUT);
        return client.call(call)
                .handle(
                        (answer, error) -> {
                            if (answer != null) {
                                return Optional.of(answer.status() == OK);
                            }
                            Throwable cause = error.getCause() == null ? error : error.getCause();
                            boolean unclear =
                                    !(error instanceof HttpFailure failure) || failure.mayHaveRun();
                            Event.of("spool.copy_failed")
                                    .with("job", job.id())
                                    .with("peer", peer.name())
                                    .with("reason", cause.toString())
                                    .info();
                            return unclear ? Optional.empty() : Optional.of(false);
                        });
    }

    /** Takes a copy from another worker; false where the call is another one. */
    boolean handle(HttpExchange exchange) {
        if (!exchange.path().equals(PATH)) {
            return false;
        }
        if (folder == null || entries.size() >= MAX_JOBS) {
            exchange.respondJson(UNAVAILABLE, "{\"detail\":\"no room in the spool\"}");
            return true;
        }
        try {
            Job job = Job.fromJson(exchange.bodyText());
            spec(job);
            folder.write(job.id(), job.toJson())
                    .thenAcceptAsync(written -> onCopyWritten(exchange, job, written), loop);
        } catch (IllegalArgumentException e) {
            exchange.respondJson(BAD_REQUEST, "{\"detail\":\"the copy can't be read\"}");
        }
        return true;
    }

    private void onCopyWritten(HttpExchange exchange, Job job, boolean written) {
        if (written) {
            hold(job, false);
        }
        exchange.respondJson(written ? OK : UNAVAILABLE, "{}");
    }

    /** The job is in the store: here it need be kept no longer. */
    void onJobStored(String job) {
        if (entries.remove(job) != null) {
            folder().delete(job);
            Event.of("spool.stored").with("job", job).with("left", entries.size()).info();
        }
    }

    private void flush() {
        loop.schedule(this::flush, FLUSH_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        if (!contact.isAvailable()) {
            return;
        }
        boolean leftToFirst = contact.nanosSinceRegained() < LEFT_TO_FIRST.toNanos();
        Collection<Entry> due =
                entries.values().stream()
                        .filter(entry -> !entry.storing)
                        .filter(entry -> entry.acceptedHere || !leftToFirst)
                        .toList();
        due.forEach(this::store);
    }

    private void store(Entry entry) {
        entry.storing = true;
        long deadline = System.nanoTime() + STORE_BOUND.toNanos();
        JobCodec.Header header = entry.job.header();
        storage.createJob(entry.job.id(), header, header.document(), deadline)
                .thenAccept(
                        created -> {
                            entry.storing = false;
                            if (created == JobStorage.CreateResult.EXISTS) {
                                onJobStored(entry.job.id());
                            }
                        });
    }
}
