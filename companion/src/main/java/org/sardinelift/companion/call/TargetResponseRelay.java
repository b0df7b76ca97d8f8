package org.sardinelift.companion.call;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.sardinelift.http.HttpAnswerListener;
import org.sardinelift.protocol.generated.FailureKind;
import org.sardinelift.protocol.generated.Finish;
import org.sardinelift.protocol.generated.RunOutcome;

/** Passes what the target sends on to the answer of one attempt, on the connection's event loop. */
final class TargetResponseRelay implements HttpAnswerListener {
    private static final int OK = 200;

    private final Attempt attempt;
    private final String targetIncarnation;
    private final boolean resuming;
    private final Consumer<End> onEnd;
    private boolean refusedToResume;

    /** How a call at the target ended. */
    enum End {
        /** The target answered to the end. */
        WHOLE,
        /** The target can't go on with a call that was cut. */
        NOT_RESUMED,
        /** No connection to the target could be opened. */
        UNREACHABLE,
        /** The connection broke. */
        BROKEN,
        /** The target sent nothing for too long. */
        SILENT
    }

    TargetResponseRelay(
            Attempt attempt, String targetIncarnation, boolean resuming, Consumer<End> onEnd) {
        this.attempt = attempt;
        this.targetIncarnation = targetIncarnation;
        this.resuming = resuming;
        this.onEnd = onEnd;
    }

    @Override
    public void onHead(int status, List<Map.Entry<String, String>> headers) {
        refusedToResume = resuming && status != OK;
        if (!refusedToResume) {
            attempt.answer().writeHead(this, status, joined(headers));
        }
    }

    @Override
    public void onData(byte[] part) {
        if (!refusedToResume) {
            attempt.answer().writeData(this, part);
        }
    }

    @Override
    public void onEnd() {
        if (refusedToResume) {
            onEnd.accept(End.NOT_RESUMED);
            return;
        }
        Finish finish = attempt.newFinish(FailureKind.NONE, RunOutcome.RUN);
        attempt.answer().finish(this, finish.setTargetIncarnation(targetIncarnation));
        onEnd.accept(End.WHOLE);
    }

    @Override
    public void onFailure(Throwable cause, boolean mayHaveRun) {
        if (!mayHaveRun) {
            RunOutcome outcome = resuming ? mayHaveRun() : RunOutcome.NOT_RUN;
            finish(FailureKind.TARGET_UNREACHABLE, outcome, cause, End.UNREACHABLE);
        } else if (cause instanceof TimeoutException) {
            finish(FailureKind.TARGET_UNREACHABLE, mayHaveRun(), cause, End.SILENT);
        } else {
            finish(FailureKind.TARGET_DIED, mayHaveRun(), cause, End.BROKEN);
        }
    }

    private RunOutcome mayHaveRun() {
        return attempt.answer().isStarted() ? RunOutcome.RUN : RunOutcome.UNKNOWN;
    }

    private void finish(FailureKind failure, RunOutcome outcome, Throwable cause, End end) {
        Finish finish =
                attempt.newFinish(failure, outcome)
                        .setDetail("the connection to the target failed: " + cause.getMessage())
                        .setTargetIncarnation(targetIncarnation);
        attempt.answer().finish(this, finish);
        onEnd.accept(end);
    }

    private static Map<String, String> joined(List<Map.Entry<String, String>> headers) {
        return headers.stream()
                .collect(
                        Collectors.toMap(
                                entry -> entry.getKey().toLowerCase(Locale.ROOT),
                                Map.Entry::getValue,
                                (first, second) -> first + ", " + second));
    }
}
