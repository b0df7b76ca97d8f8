package org.sardinelift.entry.call;

import java.nio.ByteBuffer;
import java.time.Duration;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Lane;
import org.sardinelift.protocol.generated.Start;

/** Builds the frame that starts an attempt. */
final class StartFrames {
    private StartFrames() {}

    static Frame of(
            CallSpec spec,
            int attempt,
            Lane lane,
            Duration left,
            boolean suspect,
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
        start.setDeadlineMs(left.toMillis());
        start.setIdempotent(spec.isIdempotent());
        start.setFingerprint(spec.fingerprint());
        start.setTraceparent(traceparent);
        start.setSuspect(suspect);
        start.setPrefixKey(spec.prefixKey());
        return Frame.start(start);
    }
}
