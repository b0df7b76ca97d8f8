package org.sardinelift.entry.batch;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.core.outcome.RunOutcome;
import org.sardinelift.entry.call.CallListener;

/** Gathers the answer of one attempt at an item, within a bound, and hands it over once. */
final class ItemResponseCollector implements CallListener {
    private final int maxBytes;
    private final Consumer<Result> done;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile int status;

    ItemResponseCollector(int maxBytes, Consumer<Result> done) {
        this.maxBytes = maxBytes;
        this.done = done;
    }

    /** What came of an attempt. */
    sealed interface Result {
        /** The whole answer. */
        record Complete(int status, byte[] body) implements Result {}

        /** No whole answer. */
        record Failed(Problem problem) implements Result {}
    }

    @Override
    public void onHead(int answerStatus, Map<String, String> headers) {
        status = answerStatus;
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

    private void end(Result answer) {
        if (ended.compareAndSet(false, true)) {
            done.accept(answer);
        }
    }
}
