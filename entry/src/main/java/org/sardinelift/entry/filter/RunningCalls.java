package org.sardinelift.entry.filter;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.catalog.Catalog;
import org.sardinelift.core.catalog.KeyEntry;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.entry.call.CallListener;
import org.tinylog.Logger;

/** Keeps the calls between key check and end, and ends those whose key is withdrawn. */
public final class RunningCalls implements CallFilter {
    private final Supplier<Catalog> catalog;
    private final Map<String, CallContext> calls = new ConcurrentHashMap<>();

    private RunningCalls(Supplier<Catalog> catalog) {
        this.catalog = catalog;
    }

    /**
     * Creates the filter.
     *
     * @param catalog supplies the current configuration
     * @return the filter, without calls
     */
    public static RunningCalls of(Supplier<Catalog> catalog) {
        return new RunningCalls(catalog);
    }

    @Override
    public void apply(CallContext call, Runnable next) {
        calls.put(call.requestId(), call);
        call.wrapListener(listener -> new RemovingListener(call.requestId(), listener));
        if (!stopIfWithdrawn(call, catalog.get())) {
            next.run();
        }
    }

    /**
     * Returns the number of calls between the key check and their end.
     *
     * @return number of calls
     */
    public int size() {
        return calls.size();
    }

    /**
     * Ends the calls whose key is no longer valid.
     *
     * @param current the new configuration
     */
    public void onCatalogChanged(Catalog current) {
        long stopped =
                calls.values().stream().filter(call -> stopIfWithdrawn(call, current)).count();
        if (stopped > 0) {
            Logger.info("{} calls were ended since their key was withdrawn", stopped);
        }
    }

    private static boolean stopIfWithdrawn(CallContext call, Catalog current) {
        Optional<String> keyId = call.keyId();
        if (keyId.isEmpty() || isValid(current.keys().get(keyId.get()), call)) {
            return false;
        }
        call.stop(ProblemKind.KEY_WITHDRAWN, "key " + keyId.get() + " was withdrawn");
        return true;
    }

    private static boolean isValid(@Nullable KeyEntry key, CallContext call) {
        return key != null && !key.isWithdrawn() && key.team().equals(call.team().name());
    }

    /** Removes the call when it ends. */
    private final class RemovingListener extends ForwardingListener {
        private final String requestId;

        RemovingListener(String requestId, CallListener next) {
            super(next);
            this.requestId = requestId;
        }

        @Override
        public void onEnd() {
            calls.remove(requestId);
            super.onEnd();
        }

        @Override
        public void onProblem(Problem problem) {
            calls.remove(requestId);
            super.onProblem(problem);
        }
    }
}
