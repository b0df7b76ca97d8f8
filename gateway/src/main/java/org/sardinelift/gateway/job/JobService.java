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
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.gateway.feed.StoreAvailability;
import org.sardinelift.gateway.peer.PeerNetwork;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.runtime.log.Event;

/** Answers gateways' calls about batch jobs. On the event loop. */
final class JobService {
    private static final Duration SUBMIT_BOUND = Duration.ofMillis(750);

    /** Time of several usual answers of the store; a job is then kept on disks as well. */
    private static final Duration SPOOL_AFTER = Duration.ofMillis(100);

    /** Several heartbeats, within which all workers that are there are heard after a start. */
    private static final Duration ACQUAINTED = Duration.ofSeconds(3);

    private static final Duration END_BOUND = Duration.ofMillis(500);

    /** Knowledge that is older may lack a result that a caller has read elsewhere. */
    private static final Duration FRESH = Duration.ofMillis(700);

    private static final int MAX_PAGE_CHARS = 700_000;
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final int OUTCOME_UNKNOWN = 504;
    private static final int MAX_ITEMS = 200;

    private final JobApi jobInterface;
    private final JobRegistry book;
    private final JobFeed feed;
    private final JobStorage storage;
    private final JobSpool spool;
    private final StoreAvailability contact;
    private final PeerNetwork network;
    private final EventLoop loop;
    private final Consumer<JobProgress> accepted;
    private final long startedAt = System.nanoTime();
    private final Map<String, List<Waiter>> waiters = new HashMap<>();

    /** A read that waits for a result. */
    private record Waiter(HttpExchange exchange, int after, long deadline) {}

    JobService(
            JobApi jobInterface,
            JobRegistry book,
            JobFeed feed,
            JobStorage storage,
            JobSpool spool,
            StoreAvailability contact,
            PeerNetwork network,
            EventLoop loop,
            Consumer<JobProgress> accepted) {
        this.jobInterface = jobInterface;
        this.book = book;
        this.feed = feed;
        this.storage = storage;
        this.spool = spool;
        this.contact = contact;
        this.network = network;
        this.loop = loop;
        this.accepted = accepted;
    }

    /** Answers a call; false where its path is none of a job. */
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
            withJob(exchange, rest, job -> end(exchange, job));
        } else if (items > 0) {
            String item = rest.substring(items + JobPaths.ITEMS.length());
            withJob(exchange, rest.substring(0, items), job -> body(exchange, job, item));
        } else if (rest.endsWith(JobPaths.RESULTS)) {
            String job = rest.substring(0, rest.length() - JobPaths.RESULTS.length());
            withJob(exchange, job, found -> results(exchange, found));
        } else {
            answer(exchange, NOT_FOUND, "no such call");
        }
        return true;
    }

    private void submit(HttpExchange exchange, String id) {
        if (book.find(id).isPresent()) {
            answer(exchange, ACCEPTED, "accepted before");
            return;
        }
        List<JobItem> items;
        try {
            items = jobInterface.parseItems(exchange.body());
        } catch (IllegalArgumentException e) {
            answer(exchange, BAD_REQUEST, "the job can't be read: " + e.getMessage());
            return;
        }
        if (items.isEmpty() || items.size() > MAX_ITEMS) {
            answer(exchange, BAD_REQUEST, "a job has 1 to " + MAX_ITEMS + " items");
            return;
        }
        JobSpec spec =
                new JobSpec(
                        id,
                        query(exchange, JobPaths.TEAM),
                        query(exchange, JobPaths.ROUTE),
                        query(exchange, JobPaths.HOST),
                        System.currentTimeMillis(),
                        items);
        new Submission(exchange, spec, new String(exchange.body(), StandardCharsets.UTF_8)).start();
    }

    /** One submission, until the store or enough disks hold the job. */
    private final class Submission {
        private final HttpExchange exchange;
        private final JobSpec spec;
        private final JobCodec.Header header;
        private JobStorage.@Nullable CreateResult stored;
        private CopyCount.@Nullable Outcome spooled;
        private boolean spooling;
        private boolean answered;

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
            long deadline = System.nanoTime() + SUBMIT_BOUND.toNanos();
            storage.createJob(spec.id(), header, header.document(), deadline)
                    .thenAccept(this::onStored);
            if (contact.isAvailable()) {
                loop.schedule(this::spool, SPOOL_AFTER.toNanos(), TimeUnit.NANOSECONDS);
            } else {
                spool();
            }
        }

        private void spool() {
            if (!answered && !spooling) {
                spooling = true;
                spool.storeCopies(spec.id(), header).thenAccept(this::onSpooled);
            }
        }

        private void onStored(JobStorage.CreateResult created) {
            stored = created;
            WorkerMetrics.countSubmission(created.name().toLowerCase(java.util.Locale.ROOT));
            if (created == JobStorage.CreateResult.EXISTS) {
                spool.onJobStored(spec.id());
                accept();
            } else {
                spool();
                refuseWhereBothFailed();
            }
        }

        private void onSpooled(CopyCount.Outcome outcome) {
            spooled = outcome;
            if (outcome == CopyCount.Outcome.KEPT) {
                WorkerMetrics.countSubmission("spooled");
                accept();
            } else {
                refuseWhereBothFailed();
            }
        }

        private void accept() {
            JobProgress job = book.add(spec);
            accepted.accept(job);
            answerOnce(ACCEPTED, "accepted");
        }

        private void refuseWhereBothFailed() {
            if (stored == null || spooled == null) {
                return;
            }
            boolean mayRun =
                    stored == JobStorage.CreateResult.UNCLEAR
                            || spooled == CopyCount.Outcome.UNCLEAR;
            if (mayRun) {
                answerOnce(OUTCOME_UNKNOWN, "the job may have been stored");
            } else {
                answerOnce(UNAVAILABLE, "the job could not be stored");
            }
        }

        private void answerOnce(int status, String detail) {
            if (answered) {
                return;
            }
            answered = true;
            Event.of("job.submitted")
                    .with("job", spec.id())
                    .with("team", spec.team())
                    .with("items", spec.items().size())
                    .with("status", status)
                    .with("stored", stored == null ? "pending" : stored.name())
                    .with("spooled", spooled == null ? null : spooled.name())
                    .info();
            answer(exchange, status, detail);
        }
    }

    private void withJob(HttpExchange exchange, String id, Consumer<JobProgress> action) {
        Optional<JobProgress> known = book.find(id);
        if (known.isPresent()) {
            checkTeam(exchange, known.get(), action);
            return;
        }
        load(id).thenAccept(
                        found -> {
                            if (found.isEmpty()) {
                                answer(exchange, UNAVAILABLE, "the store doesn't answer");
                            } else if (!found.get() && mayBeElsewhere(id)) {
                                answer(exchange, UNAVAILABLE, "another worker may know the job");
                            } else if (!found.get()) {
                                answer(exchange, NOT_FOUND, "no such job");
                            } else {
                                checkTeam(exchange, book.find(id).orElseThrow(), action);
                            }
                        });
    }

    /**
     * A job that only disks hold yet is not in the store. The worker that runs it reports it, so
     * that only one that hears all others may deny a job.
     */
    private boolean mayBeElsewhere(String id) {
        long now = System.nanoTime();
        long hash = ItemRunner.hash(id);
        boolean young = now - startedAt < ACQUAINTED.toNanos();
        return spool.isEnabled()
                && (young
                        || !network.peers().isEveryPeerLive(PeerRole.WORKER, now)
                        || network.peers()
                                .livePeers(PeerRole.WORKER, now)
                                .anyMatch(peer -> peer.jobHashes().contains(hash)));
    }

    private void checkTeam(HttpExchange exchange, JobProgress job, Consumer<JobProgress> action) {
        if (job.spec().team().equals(query(exchange, JobPaths.TEAM))) {
            action.accept(job);
        } else {
            answer(exchange, NOT_FOUND, "no such job of this team");
        }
    }

    /** Reads a job from the store; empty where the store doesn't answer. */
    private CompletableFuture<Optional<Boolean>> load(String id) {
        return storage.read(new JobObject.Header(id))
                .thenCompose(
                        result -> {
                            if (result instanceof ReadResult.Absent) {
                                return CompletableFuture.completedFuture(Optional.of(false));
                            }
                            if (!(result instanceof ReadResult.Found found)) {
                                return CompletableFuture.completedFuture(Optional.empty());
                            }
                            int parts = JobCodec.header(found.object().value()).parts();
                            return loadParts(id, 0, parts)
                                    .thenApply(
                                            whole -> {
                                                book.apply(found.object());
                                                boolean known = book.find(id).isPresent();
                                                return known ? Optional.of(true) : Optional.empty();
                                            });
                        });
    }

    private CompletableFuture<Boolean> loadParts(String id, int number, int parts) {
        if (number == parts) {
            return CompletableFuture.completedFuture(true);
        }
        return storage.read(new JobObject.Part(id, number))
                .thenCompose(
                        result -> {
                            if (result instanceof ReadResult.Found found) {
                                book.apply(found.object());
                            }
                            return loadParts(id, number + 1, parts);
                        });
    }

    private void end(HttpExchange exchange, JobProgress job) {
        if (job.hasEnded()) {
            answer(exchange, OK, "ended");
            return;
        }
        String id = job.spec().id();
        storage.createEnd(id, System.nanoTime() + END_BOUND.toNanos())
                .thenAccept(
                        created -> {
                            Event.of("job.end")
                                    .with("job", id)
                                    .with("stored", created.name())
                                    .info();
                            if (created == JobStorage.CreateResult.EXISTS) {
                                book.onJobEnded(job);
                                answer(exchange, OK, "ended");
                            } else {
                                answer(exchange, UNAVAILABLE, "the end could not be stored");
                            }
                        });
    }

    private void body(HttpExchange exchange, JobProgress job, String item) {
        Optional<JobItem> found = job.item(item);
        if (found.isEmpty()) {
            answer(exchange, NOT_FOUND, "no such item");
            return;
        }
        exchange.respond(
                OK, Map.of("content-type", "application/octet-stream"), found.get().body());
    }

    private void results(HttpExchange exchange, JobProgress job) {
        int after = (int) number(exchange, JobPaths.AFTER);
        long waitMs = number(exchange, JobPaths.WAIT_MS);
        if (job.filledPositions() > after) {
            answerPage(exchange, job, after);
            return;
        }
        boolean complete = job.filledPositions() == job.spec().items().size();
        if (complete || waitMs <= 0) {
            answerEmpty(exchange, job, after);
            return;
        }
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        Waiter waiter = new Waiter(exchange, after, deadline);
        String id = job.spec().id();
        waiters.computeIfAbsent(id, key -> new ArrayList<>()).add(waiter);
        loop.schedule(() -> onWaitOver(id, job, waiter), waitMs, TimeUnit.MILLISECONDS);
    }

    /** Positions of a job were filled. */
    void onJobChanged(JobProgress job) {
        List<Waiter> waiting = waiters.get(job.spec().id());
        if (waiting == null) {
            return;
        }
        List<Waiter> due =
                waiting.stream().filter(waiter -> job.filledPositions() > waiter.after()).toList();
        due.forEach(waiter -> answerPage(waiter.exchange(), job, waiter.after()));
        waiting.removeAll(due);
        if (waiting.isEmpty()) {
            waiters.remove(job.spec().id());
        }
    }

    private void onWaitOver(String id, JobProgress job, Waiter waiter) {
        List<Waiter> waiting = waiters.get(id);
        if (waiting == null || !waiting.remove(waiter)) {
            return;
        }
        if (waiting.isEmpty()) {
            waiters.remove(id);
        }
        answerEmpty(waiter.exchange(), job, waiter.after());
    }

    /** Says that nothing is at a position, once that is certain. */
    private void answerEmpty(HttpExchange exchange, JobProgress job, int after) {
        boolean complete = job.filledPositions() == job.spec().items().size();
        if (complete || feed.staleNanos() < FRESH.toNanos()) {
            answerPage(exchange, job, after);
            return;
        }
        storage.read(new JobObject.Record(job.spec().id(), job.nextRecord()))
                .thenAccept(
                        result -> {
                            if (result instanceof ReadResult.Found found) {
                                book.apply(found.object());
                                answerPage(exchange, job, after);
                            } else if (result instanceof ReadResult.Absent) {
                                answerPage(exchange, job, after);
                            } else {
                                answer(exchange, UNAVAILABLE, "the store doesn't answer");
                            }
                        });
    }

    private void answerPage(HttpExchange exchange, JobProgress job, int after) {
        List<ItemResult> page = job.results(after, MAX_PAGE_CHARS);
        int total = job.spec().items().size();
        exchange.respond(
                OK,
                Map.of("content-type", "application/json"),
                jobInterface.formatResults(total, after + page.size(), page));
    }

    private static String query(HttpExchange exchange, String name) {
        @Nullable String value = exchange.query(name);
        return value == null ? "" : value;
    }

    private static long number(HttpExchange exchange, String name) {
        String text = query(exchange, name);
        return text.matches("\\d{1,9}") ? Long.parseLong(text) : 0;
    }

    private static void answer(HttpExchange exchange, int status, String detail) {
        exchange.respondJson(status, "{\"detail\":\"" + detail.replace('"', '\'') + "\"}");
    }
}
