package org.sardinelift.gateway.call;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.load.TargetLoad;
import org.sardinelift.core.outcome.RunOutcome;
import org.sardinelift.core.stream.EventStreamParser;
import org.sardinelift.core.stream.StreamEvent;
import org.sardinelift.gateway.HeaderNames;
import org.sardinelift.gateway.call.TargetTable.Target;
import org.sardinelift.http.HttpAnswerListener;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;

/** One attempt of a call at one target; on the event loop. */
final class TargetAttempt implements HttpAnswerListener {
    private static final int MISDIRECTED = 421;
    private static final int SUCCESS_CLASS = 2;
    private static final int CLASS_SIZE = 100;

    private final ForwardedCall run;
    private final Target target;
    private final TargetLoad load;
    private final long sentAt;
    private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
    private Runnable canceller = () -> {};
    private long lastProgressAt;
    private long firstEventAt;
    private int events;
    private int status;
    private List<Map.Entry<String, String>> headers = List.of();
    private @Nullable EventStreamParser reader;

    TargetAttempt(ForwardedCall run, Target target, TargetLoad load, long sentAt) {
        this.run = run;
        this.target = target;
        this.load = load;
        this.sentAt = sentAt;
        this.lastProgressAt = sentAt;
    }

    void start(HttpClient client, HttpCall call) {
        canceller = client.send(call, this);
    }

    /** Closes the connection, so that the target drops the call. */
    void cancel() {
        canceller.run();
    }

    Target target() {
        return target;
    }

    TargetLoad load() {
        return load;
    }

    int status() {
        return status;
    }

    List<Map.Entry<String, String>> headers() {
        return headers;
    }

    long lastProgressAt() {
        return lastProgressAt;
    }

    boolean hasEvents() {
        return events > 0;
    }

    @Override
    public void onHead(int answered, List<Map.Entry<String, String>> fields) {
        if (!run.isCurrent(this)) {
            return;
        }
        status = answered;
        headers = fields;
        onBytes();
        HeaderNames names = run.forwarding().headers().names();
        String echoed = header(names.callId());
        if (echoed != null && !echoed.equals(run.call().id())) {
            fail("the answer belongs to call " + echoed);
            return;
        }
        noteLoad(header(names.load()));
        boolean succeeded = status / CLASS_SIZE == SUCCESS_CLASS;
        if (succeeded && header(names.signature()) == null) {
            fail("the answer has no signature");
        } else if (succeeded && run.isStream()) {
            reader =
                    run.lastEventId().isPresent()
                            ? EventStreamParser.resumingAfter(run.lastEventId().getAsLong())
                            : EventStreamParser.fromStart();
        }
    }

    private void noteLoad(@Nullable String stated) {
        LoadHeader.parse(stated)
                .ifPresent(
                        calls ->
                                run.forwarding()
                                        .network()
                                        .targetLoads()
                                        .onTargetLoad(target.id(), calls, run.forwarding().now()));
    }

    private void onBytes() {
        long now = run.forwarding().now();
        lastProgressAt = now;
        target.onBytesReceived(now);
    }

    @Override
    public void onData(byte[] part) {
        if (!run.isCurrent(this)) {
            return;
        }
        onBytes();
        if (reader == null) {
            whole.writeBytes(part);
            return;
        }
        List<StreamEvent> received = reader.parse(part);
        if (!received.isEmpty()) {
            noteEvents(received.size());
            run.forwardEvents(this, received);
        }
        if (reader.fault().isPresent()) {
            fail(reader.fault().get());
        }
    }

    private void noteEvents(int count) {
        if (events == 0) {
            firstEventAt = lastProgressAt;
            if (load.freeSlots() > 0) {
                target.health().onFirstEvent(lastProgressAt - sentAt);
            }
        }
        events += count;
    }

    @Override
    public void onEnd() {
        if (!run.isCurrent(this)) {
            return;
        }
        onBytes();
        HeaderNames names = run.forwarding().headers().names();
        if (status == MISDIRECTED) {
            run.forwarding().targets().onMisdirected(target);
            run.onAttemptFailed(this, RunOutcome.NOT_RUN, "another target has the address");
        } else if (header(names.notRun()) != null) {
            run.onAttemptFailed(this, RunOutcome.NOT_RUN, "refused with status " + status);
        } else if (reader == null) {
            run.onCompleteResponse(this, whole.toByteArray());
        } else if (reader.hasPartialEvent()) {
            fail("the stream ends within an event");
        } else {
            target.health().onSuccess(lastProgressAt - firstEventAt, events - 1);
            run.onStreamEnd(this);
        }
    }

    @Override
    public void onFailure(Throwable cause, boolean mayHaveRun) {
        if (!run.isCurrent(this)) {
            return;
        }
        String reason = String.valueOf(cause.getMessage() == null ? cause : cause.getMessage());
        if (mayHaveRun) {
            run.forwarding().targets().onConnectionBroken(target, run.call().fingerprint());
            run.onAttemptFailed(this, RunOutcome.UNKNOWN, reason);
        } else {
            run.forwarding().targets().onSilent(target, reason);
            run.onAttemptFailed(this, RunOutcome.NOT_RUN, reason);
        }
    }

    /** The answer can't be used; what the target goes on to send belongs to no call. */
    private void fail(String reason) {
        cancel();
        run.forwarding().targets().onCallFailed(target);
        run.onAttemptFailed(this, RunOutcome.UNKNOWN, reason);
    }

    private @Nullable String header(String name) {
        return headers.stream()
                .filter(entry -> entry.getKey().equalsIgnoreCase(name))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElse(null);
    }
}
