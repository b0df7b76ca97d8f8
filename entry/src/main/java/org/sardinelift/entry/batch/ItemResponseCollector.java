package org.sardinelift.entry.batch;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.core.outcome.RunOutcome;
import org.sardinelift.entry.call.CallListener;

/** Collects the response of one attempt at an item, up to a size limit, and reports it once. */
final class ItemResponseCollector implements CallListener {
    private final int maxBytes;
    private final Consumer<Result> done;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final AtomicBoolean hasEnded = new AtomicBoolean();
    private volatile int status;

    ItemResponseCollector(int maxBytes, Consumer<Result> done) {
        this.maxBytes = maxBytes;
        this.done = done;
    }

    /** Result of an attempt. */
    sealed interface Result {
        /** A complete response. */
        record Complete(int status, byte[] body) implements Result {}

        /** No complete response. */
        record Failed(Problem problem) implements Result {}
    }

    @Override
    public void onHead(int responseStatus, Map<String, String> headers) {
        status = responseStatus;
    }

    @Override
    public void onData(byte[] part) {
        if (body.size() + part.length <= maxBytes) {
            body.writeBytes(part);
        } else {
            end(
                    new Result.Failed(
                            Problem.failed(
                                    ProblemKind.BODY_TOO_LARGE,
                                    RunOutcome.RUN,
                                    "the answer exceeds " + maxBytes + " bytes")));
        }
    }

    @Override
    public void onEnd() {
        end(new Result.Complete(status, body.toByteArray()));
    }

    @Override
    public void onProblem(Problem problem) {
        end(new Result.Failed(problem));
    }

    private void end(Result result) {
        if (hasEnded.compareAndSet(false, true)) {
            done.accept(result);
        }
    }
}
