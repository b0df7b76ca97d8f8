package org.sardinelift.entry.call;

import java.nio.ByteBuffer;
import java.time.Duration;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Lane;
import org.sardinelift.protocol.generated.Start;

/** Builds the Start frame of an attempt. */
final class StartFrames {
    private StartFrames() {}

    static Frame of(
            CallSpec spec,
            int attempt,
            Lane lane,
            Duration timeLeft,
            boolean isSuspect,
            String traceparent) {
        Start start = new Start();
        start.setRequestId(spec.requestId());
        start.setAttempt(attempt);
        start.setTeam(spec.team().name());
        start.setWeight(spec.isBatch() ? spec.team().batchWeight() : spec.team().onlineWeight());
        start.setLane(lane);
        start.setModel(spec.model());
        start.setMethod(spec.method());
        start.setPath(spec.path());
        start.setHeaders(spec.headers());
        start.setBody(ByteBuffer.wrap(spec.body()));
        start.setDeadlineMs(timeLeft.toMillis());
        start.setIdempotent(spec.isIdempotent());
        start.setFingerprint(spec.fingerprint());
        start.setTraceparent(traceparent);
        start.setSuspect(isSuspect);
        start.setPrefixKey(spec.prefixKey());
        return Frame.start(start);
    }
}
