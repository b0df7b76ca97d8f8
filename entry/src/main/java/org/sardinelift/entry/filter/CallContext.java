package org.sardinelift.entry.filter;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntConsumer;
import java.util.function.UnaryOperator;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.catalog.ServiceSpec;
import org.sardinelift.core.catalog.TeamPlan;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.core.outcome.RunOutcome;
import org.sardinelift.entry.call.CallHandle;
import org.sardinelift.entry.call.CallListener;
import org.sardinelift.entry.call.CallSpec;
import org.sardinelift.http.HttpExchange;

/** State of one caller's request while it passes the filters; used by one thread at a time. */
public final class CallContext {
    private final HttpExchange exchange;
    private final String requestId;
    private final AnswerWriter answer;
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.WAITING);
    private CallListener listener;
    private String traceparent = "";
    private Runnable dispatchListener = () -> {};
    private IntConsumer answerListener = status -> {};
    private @Nullable String key;
    private @Nullable String keyId;
    private @Nullable TeamPlan team;
    private @Nullable CallSpec spec;
    private volatile @Nullable CallHandle handle;
    private Map<String, String> figures = Map.of();

    /** Shows whether the call can still be stopped without having run. */
    private enum Phase {
        WAITING,
        DISPATCHED,
        STOPPED
    }

    private CallContext(HttpExchange exchange, String requestId, AnswerWriter answer) {
        this.exchange = exchange;
        this.requestId = requestId;
        this.answer = answer;
        this.listener = answer;
    }

    /**
     * Creates the context of a new request.
     *
     * @param exchange the request, through which it is answered
     * @param requestId unique over the fleet
     * @param maxUnsentBytes bytes of the answer that may be buffered for a slow caller
     * @return the context
     */
    public static CallContext of(HttpExchange exchange, String requestId, int maxUnsentBytes) {
        return new CallContext(
                exchange, requestId, new AnswerWriter(exchange, requestId, maxUnsentBytes));
    }

    /**
     * Returns the request, through which it is answered.
     *
     * @return the exchange
     */
    public HttpExchange exchange() {
        return exchange;
    }

    /**
     * Returns the request's identifier.
     *
     * @return identifier, unique over the fleet
     */
    public String requestId() {
        return requestId;
    }

    /**
     * Returns whether the call has ended with an answer or a problem.
     *
     * @return true if no filter may answer the call any more
     */
    public boolean isAnswered() {
        return answer.isEnded();
    }

    /**
     * Ends the call with a problem; does nothing once it has ended.
     *
     * @param problem what was wrong
     */
    public void refuse(Problem problem) {
        listener.onProblem(problem);
    }

    /**
     * Ends the call from outside the filters: its caller gets a problem and its attempt is
     * cancelled.
     *
     * @param kind kind of the problem
     * @param detail what was wrong in this case
     */
    public void stop(ProblemKind kind, String detail) {
        if (phase.compareAndSet(Phase.WAITING, Phase.STOPPED)) {
            refuse(Problem.notRun(kind, detail));
            return;
        }
        answer.onProblem(Problem.failed(kind, RunOutcome.UNKNOWN, detail));
        CallHandle running = handle;
        if (running != null) {
            running.cancel(detail);
        }
    }

    /**
     * Marks the call as dispatched, unless it was stopped.
     *
     * @return false if the call was stopped and must not run
     */
    public boolean tryDispatch() {
        boolean claimed = phase.compareAndSet(Phase.WAITING, Phase.DISPATCHED);
        if (claimed) {
            dispatchListener.run();
        }
        return claimed;
    }

    /**
     * Returns whether the call was dispatched.
     *
     * @return false while the call passes the filters, and after they refused it
     */
    public boolean isDispatched() {
        return phase.get() == Phase.DISPATCHED;
    }

    /**
     * Returns the figures on which the last decision about the call was based.
     *
     * @return figures by name
     */
    public Map<String, String> figures() {
        return figures;
    }

    /**
     * Sets the figures on which the decision about the call is based.
     *
     * @param values figures by name
     */
    public void figures(Map<String, String> values) {
        figures = values;
    }

    /**
     * Sets the listener for the dispatch of the call.
     *
     * @param listener run once, before the call is dispatched
     */
    public void setDispatchListener(Runnable listener) {
        dispatchListener = listener;
    }

    /**
     * Sets the listener for an answer that this entry gives itself.
     *
     * @param listener receives the HTTP status code
     */
    public void setLocalAnswerListener(IntConsumer listener) {
        answerListener = listener;
    }

    /**
     * Called when this entry has answered the request itself, without the call's listener.
     *
     * @param status HTTP status code
     */
    public void onLocalAnswer(int status) {
        answerListener.accept(status);
    }

    /**
     * Wraps the listener of the call, so that a filter can observe the answer.
     *
     * @param wrapper returns a listener that forwards to the one given
     */
    public void wrapListener(UnaryOperator<CallListener> wrapper) {
        listener = wrapper.apply(listener);
    }

    /**
     * Returns the listener that receives the answer.
     *
     * @return listener with all its wrappers
     */
    public CallListener listener() {
        return listener;
    }

    /**
     * Returns the W3C trace context for the next hop.
     *
     * @return header value, empty for none
     */
    public String traceparent() {
        return traceparent;
    }

    /**
     * Sets the trace context.
     *
     * @param value header value
     */
    public void traceparent(String value) {
        traceparent = value;
    }

    /**
     * Returns the caller's key, which is kept only to detect that a request would pass it to a
     * target.
     *
     * @return the key, or empty if the caller sent none
     */
    public Optional<String> key() {
        return Optional.ofNullable(key);
    }

    /**
     * Returns the public identifier of the caller's key.
     *
     * @return the identifier, or empty if the caller has no valid key
     */
    public Optional<String> keyId() {
        return Optional.ofNullable(keyId);
    }

    /**
     * Sets the caller.
     *
     * @param callerKey the key, or null if the caller sent none
     * @param callerKeyId its public identifier, or null if the key is not valid
     * @param plan team for which the call runs
     */
    public void setCaller(@Nullable String callerKey, @Nullable String callerKeyId, TeamPlan plan) {
        key = callerKey;
        keyId = callerKeyId;
        team = plan;
    }

    /**
     * Returns the team for which the call runs.
     *
     * @return the team
     * @throws IllegalStateException if the call has not passed the key filter
     */
    public TeamPlan team() {
        return require(team, "the call has not passed the key filter");
    }

    /**
     * Returns the name of the team for which the call runs.
     *
     * @return the name, or empty before the key filter
     */
    public Optional<String> teamName() {
        return Optional.ofNullable(team).map(TeamPlan::name);
    }

    /**
     * Returns the call to be sent to a target.
     *
     * @return the call
     * @throws IllegalStateException if the call has not passed the service filter
     */
    public CallSpec spec() {
        return require(spec, "the call has not passed the service filter");
    }

    /**
     * Sets the call to be sent to a target.
     *
     * @param value the call
     */
    public void spec(CallSpec value) {
        spec = value;
    }

    /**
     * Returns the service that the call is for.
     *
     * @return the service
     */
    public ServiceSpec service() {
        return spec().service();
    }

    /**
     * Sets the handle of the dispatched call.
     *
     * @param running the handle
     */
    public void setHandle(CallHandle running) {
        handle = running;
    }

    private static <T> T require(@Nullable T value, String message) {
        if (value == null) {
            throw new IllegalStateException(message);
        }
        return value;
    }
}
