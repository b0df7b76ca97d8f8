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
 * Runs a non-idempotent call with an Idempotency-Key at most once in the whole fleet: an intent is
 * written to the platform before the call is dispatched, and its outcome afterwards.
 */
public final class IdempotencyFilter implements CallFilter {
    private static final String HEADER = "idempotency-key";
    private static final String RECORD_KIND = "idempotency";
    private static final int MAX_KEY_CHARS = 256;
    private static final Duration CONFLICT_RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration PLATFORM_RETRY_AFTER = Duration.ofSeconds(5);

    private final IntentStore intents;
    private final IdempotencyBounds bounds;

    private IdempotencyFilter(IntentStore intents, IdempotencyBounds bounds) {
        this.intents = intents;
        this.bounds = bounds;
    }

    /**
     * Creates the filter.
     *
     * @param store the platform
     * @param timers runs retries
     * @param bounds size limit and retries
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
        ObjectKey recordKey = recordKey(call, key);
        long giveUpAtMs =
                System.currentTimeMillis()
                        + call.spec().deadline().toMillis()
                        + bounds.grace().toMillis();
        IdempotencyRecord intent =
                IdempotencyRecord.intent(
                        UUID.randomUUID().toString(), call.spec().fingerprint(), giveUpAtMs);
        intents.claim(recordKey, intent)
                .whenComplete(
                        (claim, failure) -> {
                            if (failure != null) {
                                Logger.error(
                                        failure,
                                        "A call is refused: its intent could not be written");
                                refuse(call);
                            } else {
                                decide(call, recordKey, intent, claim, next);
                            }
                        });
    }

    private void decide(
            CallContext call,
            ObjectKey recordKey,
            IdempotencyRecord intent,
            IntentStore.Claim claim,
            Runnable next) {
        if (claim instanceof IntentStore.Claimed) {
            call.wrapListener(
                    listener -> new OutcomeRecorder(recordKey, intent.intentId(), listener));
            next.run();
        } else if (claim instanceof IntentStore.Existing existing) {
            answer(call, recordKey, existing);
        } else {
            refuse(call);
        }
    }

    private static void refuse(CallContext call) {
        call.refuse(
                Problem.notRun(
                        ProblemKind.PLATFORM_UNAVAILABLE,
                        "the call's intent could not be written, so it was not run",
                        PLATFORM_RETRY_AFTER));
    }

    private void answer(CallContext call, ObjectKey recordKey, IntentStore.Existing existing) {
        IdempotencyRecord record = existing.record();
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
                                    Optional.of(CONFLICT_RETRY_AFTER)));
            case REPLAY -> replay(call.listener(), record);
            case GIVE_UP -> {
                intents.giveUp(recordKey, existing);
                call.refuse(outcomeUnknown());
            }
            default -> call.refuse(outcomeUnknown());
        }
    }

    private static Problem outcomeUnknown() {
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

    private static ObjectKey recordKey(CallContext call, String key) {
        String hash =
                Fingerprint.of(
                        call.team().name(),
                        "idempotency-key",
                        key.getBytes(StandardCharsets.UTF_8));
        return new ObjectKey(RECORD_KIND, call.team().name() + "/" + hash);
    }

    /**
     * Records the outcome. The intent of a call that was not run is deleted before its caller is
     * notified, so that a resent call can run.
     */
    private final class OutcomeRecorder implements CallListener {
        private final ObjectKey recordKey;
        private final String intentId;
        private final CallListener next;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private String contentType = "";
        private boolean isBodyKept = true;

        OutcomeRecorder(ObjectKey recordKey, String intentId, CallListener next) {
            this.recordKey = recordKey;
            this.intentId = intentId;
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
            if (isBodyKept && body.size() + part.length <= bounds.maxRecordedBytes()) {
                body.writeBytes(part);
            } else {
                isBodyKept = false;
                body.reset();
            }
            next.onData(part);
        }

        @Override
        public void onEnd() {
            byte[] kept = body.toByteArray();
            intents.update(
                    recordKey,
                    intentId,
                    record -> record.finished(status, contentType, kept, isBodyKept));
            next.onEnd();
        }

        @Override
        public void onProblem(Problem problem) {
            if (problem.outcome() == RunOutcome.NOT_RUN) {
                intents.withdraw(recordKey, intentId)
                        .whenComplete((isDeleted, failure) -> next.onProblem(problem));
            } else {
                intents.update(recordKey, intentId, IdempotencyRecord::unclear);
                next.onProblem(problem);
            }
        }
    }
}
