package org.sardinelift.entry.filter;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ScheduledExecutorService;
import org.sardinelift.core.outcome.IdempotencyRecord;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.core.outcome.RunOutcome;
import org.sardinelift.core.poison.Fingerprint;
import org.sardinelift.entry.call.CallListener;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.tinylog.Logger;

/**
 * Runs a non-repeatable call with an Idempotency-Key at most once over the whole fleet: its intent
 * is written to the platform before it is dispatched, and its outcome after.
 */
public final class IdempotencyFilter implements CallFilter {
    private static final String HEADER = "idempotency-key";
    private static final String KIND = "idempotency";
    private static final int MAX_KEY_CHARS = 256;
    private static final Duration WAIT = Duration.ofSeconds(1);
    private static final Duration PLATFORM_WAIT = Duration.ofSeconds(5);

    private final IntentStore intents;
    private final IdempotencyBounds bounds;

    private IdempotencyFilter(IntentStore intents, IdempotencyBounds bounds) {
        this.intents = intents;
        this.bounds = bounds;
    }

    /**
     * Makes the filter.
     *
     * @param store the platform
     * @param timers runs retries
     * @param bounds bounds
     * @return the filter
     */
    public static IdempotencyFilter of(
            ObjectStore store, ScheduledExecutorService timers, IdempotencyBounds bounds) {
        return new IdempotencyFilter(new IntentStore(store, timers, bounds), bounds);
    }

    @Override
    public void apply(CallContext call, Runnable next) {
        String key = call.exchange().header(HEADER);
        if (key == null || call.spec().isIdempotent()) {
            next.run();
            return;
        }
        if (key.isBlank() || key.length() > MAX_KEY_CHARS) {
            call.refuse(
                    Problem.notRun(
                            ProblemKind.MALFORMED_REQUEST,
                            "Idempotency-Key must have 1 to " + MAX_KEY_CHARS + " characters"));
            return;
        }
        ObjectKey name = name(call, key);
        long until =
                System.currentTimeMillis()
                        + call.spec().deadline().toMillis()
                        + bounds.grace().toMillis();
        IdempotencyRecord intent =
                IdempotencyRecord.intent(
                        UUID.randomUUID().toString(), call.spec().fingerprint(), until);
        intents.claim(name, intent)
                .whenComplete(
                        (claim, error) -> {
                            if (error != null) {
                                Logger.error(error, "The intent of a call can't be written");
                                refuse(call);
                            } else {
                                decide(call, name, intent, claim, next);
                            }
                        });
    }

    private void decide(
            CallContext call,
            ObjectKey name,
            IdempotencyRecord intent,
            IntentStore.Claim claim,
            Runnable next) {
        if (claim instanceof IntentStore.Claimed) {
            call.wrapListener(listener -> new Recorder(name, intent.intentId(), listener));
            next.run();
        } else if (claim instanceof IntentStore.Existing other) {
            answer(call, name, other);
        } else {
            refuse(call);
        }
    }

    private static void refuse(CallContext call) {
        call.refuse(
                Problem.notRun(
                        ProblemKind.PLATFORM_UNAVAILABLE,
                        "the call's intent could not be written, so it was not run",
                        PLATFORM_WAIT));
    }

    private void answer(CallContext call, ObjectKey name, IntentStore.Existing other) {
        IdempotencyRecord record = other.record();
        switch (record.resolve(call.spec().fingerprint(), System.currentTimeMillis())) {
            case KEY_REUSED ->
                    call.refuse(
                            Problem.notRun(
                                    ProblemKind.IDEMPOTENCY_KEY_REUSED,
                                    "the Idempotency-Key was used for another request"));
            case STILL_RUNNING ->
                    call.refuse(
                            new Problem(
                                    ProblemKind.CONFLICT,
                                    RunOutcome.UNKNOWN,
                                    "the first call with this Idempotency-Key is still running",
                                    Optional.of(WAIT)));
            case REPLAY -> replay(call.listener(), record);
            case GIVE_UP -> {
                intents.giveUp(name, other);
                call.refuse(unknown());
            }
            default -> call.refuse(unknown());
        }
    }

    private static Problem unknown() {
        return Problem.failed(
                ProblemKind.OUTCOME_UNKNOWN,
                RunOutcome.UNKNOWN,
                "the first call with this Idempotency-Key may have run; it is not run again");
    }

    private static void replay(CallListener listener, IdempotencyRecord record) {
        Map<String, String> headers = new LinkedHashMap<>();
        if (!record.contentType().isEmpty()) {
            headers.put("content-type", record.contentType());
        }
        headers.put("idempotency-replayed", record.isBodyKept() ? "whole" : "status-only");
        listener.onHead(record.status(), headers);
        listener.onData(record.body());
        listener.onEnd();
    }

    private static ObjectKey name(CallContext call, String key) {
        String hash =
                Fingerprint.of(
                        call.team().name(),
                        "idempotency-key",
                        key.getBytes(StandardCharsets.UTF_8));
        return new ObjectKey(KIND, call.team().name() + "/" + hash);
    }

    /** Records the outcome; a call that was not run loses its intent before its caller hears so. */
    private final class Recorder implements CallListener {
        private final ObjectKey name;
        private final String mark;
        private final CallListener next;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private String contentType = "";
        private boolean whole = true;

        Recorder(ObjectKey name, String mark, CallListener next) {
            this.name = name;
            this.mark = mark;
            this.next = next;
        }

        @Override
        public void onHead(int answerStatus, Map<String, String> headers) {
            status = answerStatus;
            headers.forEach(
                    (header, value) -> {
                        if (header.equalsIgnoreCase("content-type")) {
                            contentType = value;
                        }
                    });
            next.onHead(answerStatus, headers);
        }

        @Override
        public void onData(byte[] part) {
            if (whole && body.size() + part.length <= bounds.maxRecordedBytes()) {
                body.writeBytes(part);
            } else {
                whole = false;
                body.reset();
            }
            next.onData(part);
        }

        @Override
        public void onEnd() {
            byte[] kept = body.toByteArray();
            intents.update(name, mark, record -> record.finished(status, contentType, kept, whole));
            next.onEnd();
        }

        @Override
        public void onProblem(Problem problem) {
            if (problem.outcome() == RunOutcome.NOT_RUN) {
                intents.withdraw(name, mark).whenComplete((done, error) -> next.onProblem(problem));
            } else {
                intents.update(name, mark, IdempotencyRecord::unclear);
                next.onProblem(problem);
            }
        }
    }
}
