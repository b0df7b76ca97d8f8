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

/** Calls between the key check and their end; a withdrawn key ends those of its callers at once. */
public final class RunningCalls implements CallFilter {
    private final Supplier<Catalog> catalog;
    private final Map<String, CallContext> calls = new ConcurrentHashMap<>();

    private RunningCalls(Supplier<Catalog> catalog) {
        this.catalog = catalog;
    }

    /**
     * Makes the filter.
     *
     * @param catalog configuration in force
     * @return the filter, without calls
     */
    public static RunningCalls of(Supplier<Catalog> catalog) {
        return new RunningCalls(catalog);
    }

    @Override
    public void apply(CallContext call, Runnable next) {
        calls.put(call.requestId(), call);
        call.wrapListener(listener -> new Leaver(call.requestId(), listener));
        if (!stopIfWithdrawn(call, catalog.get())) {
            next.run();
        }
    }

    /**
     * Calls between the key check and their end.
     *
     * @return their number
     */
    public int size() {
        return calls.size();
    }

    /**
     * Ends the calls whose key no longer holds.
     *
     * @param now the configuration from now on
     */
    public void onCatalogChanged(Catalog now) {
        long stopped = calls.values().stream().filter(call -> stopIfWithdrawn(call, now)).count();
        if (stopped > 0) {
            Logger.info("{} calls were ended since their key was withdrawn", stopped);
        }
    }

    private static boolean stopIfWithdrawn(CallContext call, Catalog now) {
        Optional<String> keyId = call.keyId();
        if (keyId.isEmpty() || holds(now.keys().get(keyId.get()), call)) {
            return false;
        }
        call.stop(ProblemKind.KEY_WITHDRAWN, "key " + keyId.get() + " was withdrawn");
        return true;
    }

    private static boolean holds(@Nullable KeyEntry key, CallContext call) {
        return key != null && !key.isWithdrawn() && key.team().equals(call.team().name());
    }

    /** Takes the call out when it ends. */
    private final class Leaver extends ForwardingListener {
        private final String requestId;

        Leaver(String requestId, CallListener next) {
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
