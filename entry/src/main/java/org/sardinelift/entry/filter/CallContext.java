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

/** One caller's request on its way through the filters; used by one thread at a time. */
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
    private volatile @Nullable CallHandle setHandle;
    private Map<String, String> figures = Map.of();

    /** Whether the call may still be stopped without having run. */
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
     * A request that has just come.
     *
     * @param exchange the request and the means to answer it
     * @param requestId unique over the fleet
     * @param maxUnsentBytes bytes of answer that may wait for a slow caller
     * @return the context
     */
    public static CallContext of(HttpExchange exchange, String requestId, int maxUnsentBytes) {
        return new CallContext(
                exchange, requestId, new AnswerWriter(exchange, requestId, maxUnsentBytes));
    }

    /**
     * The request and the means to answer it.
     *
     * @return the exchange
     */
    public HttpExchange exchange() {
        return exchange;
    }

    /**
     * The request's identifier.
     *
     * @return identifier, unique over the fleet
     */
    public String requestId() {
        return requestId;
    }

    /**
     * Whether the call was answered or refused.
     *
     * @return true once no filter may answer it any more
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
     * Ends the call from outside: its caller gets a problem and its target is told to stop.
     *
     * @param kind what was wrong
     * @param detail what was wrong in this case
     */
    public void stop(ProblemKind kind, String detail) {
        if (phase.compareAndSet(Phase.WAITING, Phase.STOPPED)) {
            refuse(Problem.notRun(kind, detail));
            return;
        }
        answer.onProblem(Problem.failed(kind, RunOutcome.UNKNOWN, detail));
        CallHandle running = setHandle;
        if (running != null) {
            running.cancel(detail);
        }
    }

    /**
     * Claims the right to hand the call to the dispatcher.
     *
     * @return false where the call was ended from outside and must not run
     */
    public boolean tryDispatch() {
        boolean claimed = phase.compareAndSet(Phase.WAITING, Phase.DISPATCHED);
        if (claimed) {
            dispatchListener.run();
        }
        return claimed;
    }

    /**
     * Whether the call was handed to the dispatcher.
     *
     * @return false while it is with the filters, and once it was refused there
     */
    public boolean isDispatched() {
        return phase.get() == Phase.DISPATCHED;
    }

    /**
     * The figures by which the call was judged last.
     *
     * @return figures by name
     */
    public Map<String, String> figures() {
        return figures;
    }

    /**
     * Sets the figures by which the call is judged.
     *
     * @param values figures by name
     */
    public void figures(Map<String, String> values) {
        figures = values;
    }

    /**
     * Lets a filter see when the call leaves the filters for the dispatcher.
     *
     * @param listener told once, before the call is dispatched
     */
    public void setDispatchListener(Runnable listener) {
        dispatchListener = listener;
    }

    /**
     * Lets a filter see the end of an answer that this entry gave itself.
     *
     * @param listener told the HTTP status code
     */
    public void setLocalAnswerListener(IntConsumer listener) {
        answerListener = listener;
    }

    /**
     * This entry has answered the request itself, past the listener of the target's answer.
     *
     * @param status HTTP status code
     */
    public void onLocalAnswer(int status) {
        answerListener.accept(status);
    }

    /**
     * Lets a filter see the answer.
     *
     * @param wrapper wraps the listener that passes the answer on
     */
    public void wrapListener(UnaryOperator<CallListener> wrapper) {
        listener = wrapper.apply(listener);
    }

    /**
     * The listener that receives the answer.
     *
     * @return listener with all wrappers
     */
    public CallListener listener() {
        return listener;
    }

    /**
     * W3C trace context that the next hop continues.
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
     * The caller's key, kept only to keep it away from targets.
     *
     * @return the key, or empty on an open route
     */
    public Optional<String> key() {
        return Optional.ofNullable(key);
    }

    /**
     * Public identifier of the caller's key.
     *
     * @return the identifier, or empty on an open route
     */
    public Optional<String> keyId() {
        return Optional.ofNullable(keyId);
    }

    /**
     * Sets the caller.
     *
     * @param callerKey the key, or null on an open route
     * @param callerKeyId its public identifier, or null on an open route
     * @param plan team that the call runs for
     */
    public void setCaller(@Nullable String callerKey, @Nullable String callerKeyId, TeamPlan plan) {
        key = callerKey;
        keyId = callerKeyId;
        team = plan;
    }

    /**
     * The team that the call runs for.
     *
     * @return the team
     * @throws IllegalStateException before the key filter
     */
    public TeamPlan team() {
        return require(team, "the key filter comes first");
    }

    /**
     * Name of the team that the call runs for.
     *
     * @return the name, or empty before the key filter
     */
    public Optional<String> teamName() {
        return Optional.ofNullable(team).map(TeamPlan::name);
    }

    /**
     * The call for the target.
     *
     * @return the call
     * @throws IllegalStateException before the service filter
     */
    public CallSpec spec() {
        return require(spec, "the service filter comes first");
    }

    /**
     * Sets the call for the target.
     *
     * @param value the call
     */
    public void spec(CallSpec value) {
        spec = value;
    }

    /**
     * The service that the call is for.
     *
     * @return the service
     */
    public ServiceSpec service() {
        return spec().service();
    }

    /**
     * The call under way.
     *
     * @param running the call
     */
    public void setHandle(CallHandle running) {
        setHandle = running;
    }

    private static <T> T require(@Nullable T value, String remedy) {
        if (value == null) {
            throw new IllegalStateException(remedy);
        }
        return value;
    }
}
