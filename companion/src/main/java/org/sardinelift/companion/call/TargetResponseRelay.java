package org.sardinelift.companion.call;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.sardinelift.http.HttpResponseListener;
import org.sardinelift.protocol.generated.FailureKind;
import org.sardinelift.protocol.generated.Finish;
import org.sardinelift.protocol.generated.RunOutcome;

/** Forwards the target's response to the buffer of one attempt, on the connection's event loop. */
final class TargetResponseRelay implements HttpResponseListener {
    private static final int OK = 200;

    private final Attempt attempt;
    private final String targetIncarnation;
    private final boolean isResuming;
    private final Consumer<End> onEnd;
    private boolean isResumeRefused;

    /** How a call at the target ended. */
    enum End {
        /** The target sent its complete response. */
        WHOLE,
        /** The target can't resume the interrupted call. */
        NOT_RESUMED,
        /** No connection to the target could be opened. */
        UNREACHABLE,
        /** The connection was lost. */
        BROKEN,
        /** The target sent no byte within the silence timeout. */
        SILENT
    }

    TargetResponseRelay(
            Attempt attempt, String targetIncarnation, boolean isResuming, Consumer<End> onEnd) {
        this.attempt = attempt;
        this.targetIncarnation = targetIncarnation;
        this.isResuming = isResuming;
        this.onEnd = onEnd;
    }

    @Override
    public void onHead(int status, List<Map.Entry<String, String>> headers) {
        isResumeRefused = isResuming && status != OK;
        if (!isResumeRefused) {
            attempt.response().writeHead(this, status, joinHeaders(headers));
        }
    }

    @Override
    public void onData(byte[] part) {
        if (!isResumeRefused) {
            attempt.response().writeData(this, part);
        }
    }

    @Override
    public void onEnd() {
        if (isResumeRefused) {
            onEnd.accept(End.NOT_RESUMED);
            return;
        }
        Finish finish = attempt.newFinish(FailureKind.NONE, RunOutcome.RUN);
        attempt.response().finish(this, finish.setTargetIncarnation(targetIncarnation));
        onEnd.accept(End.WHOLE);
    }

    @Override
    public void onFailure(Throwable cause, boolean mayHaveRun) {
        if (!mayHaveRun) {
            RunOutcome outcome = isResuming ? outcomeOfFailure() : RunOutcome.NOT_RUN;
            fail(FailureKind.TARGET_UNREACHABLE, outcome, cause, End.UNREACHABLE);
        } else if (cause instanceof TimeoutException) {
            fail(FailureKind.TARGET_UNREACHABLE, outcomeOfFailure(), cause, End.SILENT);
        } else {
            fail(FailureKind.TARGET_DIED, outcomeOfFailure(), cause, End.BROKEN);
        }
    }

    private RunOutcome outcomeOfFailure() {
        return attempt.response().isStarted() ? RunOutcome.RUN : RunOutcome.UNKNOWN;
    }

    private void fail(FailureKind failure, RunOutcome outcome, Throwable cause, End end) {
        Finish finish =
                attempt.newFinish(failure, outcome)
                        .setDetail("the connection to the target failed: " + cause.getMessage())
                        .setTargetIncarnation(targetIncarnation);
        attempt.response().finish(this, finish);
        onEnd.accept(end);
    }

    private static Map<String, String> joinHeaders(List<Map.Entry<String, String>> headers) {
        return headers.stream()
                .collect(
                        Collectors.toMap(
                                entry -> entry.getKey().toLowerCase(Locale.ROOT),
                                Map.Entry::getValue,
                                (first, second) -> first + ", " + second));
    }
}
