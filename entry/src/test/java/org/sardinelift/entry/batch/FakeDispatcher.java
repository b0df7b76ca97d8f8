package org.sardinelift.entry.batch;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.core.outcome.RunOutcome;
import org.sardinelift.entry.call.CallDispatcher;
import org.sardinelift.entry.call.CallHandle;
import org.sardinelift.entry.call.CallListener;
import org.sardinelift.entry.call.CallSpec;

/** A dispatcher whose targets answer as the test sets, by default at once. */
final class FakeDispatcher implements CallDispatcher {
    private final Map<String, Integer> runsByBody = new HashMap<>();
    private final List<CallSpec> calls = new ArrayList<>();
    private int slots = Integer.MAX_VALUE;
    private int running;
    private int cancelled;
    private BiConsumer<CallSpec, CallListener> behaviour = FakeDispatcher::answer;

    static void answer(CallSpec spec, CallListener listener) {
        listener.onHead(200, Map.of());
        listener.onData("{\"echo\":".getBytes(StandardCharsets.UTF_8));
        listener.onData((spec.body().length + "}").getBytes(StandardCharsets.UTF_8));
        listener.onEnd();
    }

    void setSlots(int free) {
        slots = free;
    }

    void setBehaviour(BiConsumer<CallSpec, CallListener> next) {
        behaviour = next;
    }

    List<CallSpec> calls() {
        return calls;
    }

    int running() {
        return running;
    }

    int cancelled() {
        return cancelled;
    }

    int runCount(String body) {
        return runsByBody.getOrDefault(body, 0);
    }

    @Override
    public CallHandle dispatch(CallSpec spec, CallListener listener) {
        calls.add(spec);
        runsByBody.merge(new String(spec.body(), StandardCharsets.UTF_8), 1, Integer::sum);
        running++;
        boolean[] isOver = {false};
        CallListener counted =
                new CallListener() {
                    @Override
                    public void onHead(int status, Map<String, String> headers) {
                        listener.onHead(status, headers);
                    }

                    @Override
                    public void onData(byte[] part) {
                        listener.onData(part);
                    }

                    @Override
                    public void onEnd() {
                        if (end()) {
                            listener.onEnd();
                        }
                    }

                    @Override
                    public void onProblem(Problem problem) {
                        if (end()) {
                            listener.onProblem(problem);
                        }
                    }

                    private boolean end() {
                        boolean first = !isOver[0];
                        isOver[0] = true;
                        running -= first ? 1 : 0;
                        return first;
                    }
                };
        behaviour.accept(spec, counted);
        return reason -> {
            if (!isOver[0]) {
                cancelled++;
                counted.onProblem(
                        Problem.failed(ProblemKind.CANCELLED, RunOutcome.RUN, "cancelled"));
            }
        };
    }

    @Override
    public int freeBatchSlots(String service, String model) {
        return Math.max(0, slots - running);
    }
}
