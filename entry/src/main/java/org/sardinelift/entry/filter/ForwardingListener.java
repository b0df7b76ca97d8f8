package org.sardinelift.entry.filter;

import java.util.Map;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.entry.call.CallListener;

/** Forwards an answer unchanged; filters override the methods that they need to observe. */
abstract class ForwardingListener implements CallListener {
    private final CallListener next;

    ForwardingListener(CallListener next) {
        this.next = next;
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
        next.onHead(status, headers);
    }

    @Override
    public void onData(byte[] part) {
        next.onData(part);
    }

    @Override
    public void onEnd() {
        next.onEnd();
    }

    @Override
    public void onProblem(Problem problem) {
        next.onProblem(problem);
    }
}
