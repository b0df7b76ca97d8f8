package org.sardinelift.gateway.call;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.sardinelift.core.load.TargetLoad;
import org.sardinelift.core.memory.TargetMemory;
import org.sardinelift.core.memory.TargetMemory.LimitedTarget;
import org.sardinelift.gateway.feed.PlanFeed;
import org.sardinelift.gateway.peer.PeerNetwork;

/**
 * Applies the memory that the configuration states for the targets of services to calls and batch
 * items. Used on the event loop.
 */
public final class TargetMemoryLimits implements CandidateFilter {
    private final PlanFeed plans;
    private final PeerNetwork network;

    /**
     * Creates the limits.
     *
     * @param plans the configuration in force
     * @param network the tokens that requests of all instances hold
     */
    public TargetMemoryLimits(PlanFeed plans, PeerNetwork network) {
        this.plans = plans;
        this.network = network;
    }

    /**
     * Memory of each target of a service.
     *
     * @param service name of the service
     * @return tokens, or empty if it is not limited
     */
    public OptionalLong memory(String service) {
        PlanFeed.CurrentPlan current = plans.current();
        return current == null
                ? OptionalLong.empty()
                : current.plan()
                        .service(service)
                        .map(plan -> plan.memoryTokens())
                        .orElse(OptionalLong.empty());
    }

    /**
     * Whether a request is too large for any target of its service, whatever else runs there.
     *
     * @param service name of the service
     * @param tokens tokens that the request may hold, empty if it states none
     * @return true if it can never run
     */
    public boolean exceedsAll(String service, OptionalLong tokens) {
        OptionalLong memory = memory(service);
        return memory.isPresent() && tokens.isPresent() && tokens.getAsLong() > memory.getAsLong();
    }

    @Override
    public List<TargetLoad> filter(ForwardedCall call, List<TargetLoad> loads, long now) {
        return fitting(call.call().service(), call.call().tokens(), loads, now);
    }

    /**
     * Leaves out targets on which a request might not fit.
     *
     * @param service service of the request
     * @param tokens tokens that it may hold, empty if it states none
     * @param loads loads of targets
     * @param now the time, nanoseconds
     * @return the loads of the others
     */
    public List<TargetLoad> fitting(
            String service, OptionalLong tokens, List<TargetLoad> loads, long now) {
        OptionalLong memory = memory(service);
        if (memory.isEmpty() || tokens.isEmpty()) {
            return loads;
        }
        TargetMemory account = network.targetMemory();
        List<TargetLoad> fitting = new ArrayList<>(loads.size());
        for (TargetLoad load : loads) {
            if (account.fits(target(load, service, memory.getAsLong()), tokens.getAsLong(), now)) {
                fitting.add(load);
            }
        }
        return fitting;
    }

    /**
     * Records the decision on a request that fits on none of the targets, and begins to clear one
     * if it needs a target for itself.
     *
     * @param service service of the request
     * @param tokens tokens that it may hold
     * @param loads loads of the targets
     * @param now the time, nanoseconds
     */
    public void onRefused(String service, long tokens, List<TargetLoad> loads, long now) {
        network.targetMemory().onDecision(service, tokens, false);
        memory(service)
                .ifPresent(
                        memory -> {
                            List<LimitedTarget> targets =
                                    loads.stream()
                                            .map(load -> target(load, service, memory))
                                            .toList();
                            if (network.targetMemory().clearFor(targets, tokens, now)) {
                                network.onLocalChange();
                            }
                        });
    }

    private static LimitedTarget target(TargetLoad load, String service, long memory) {
        return new LimitedTarget(load.id(), service, load.slots(), load.calls().total(), memory);
    }

    /**
     * Tokens that a request is counted with.
     *
     * @param service service of the request
     * @param tokens tokens that it may hold, empty if it states none
     * @return 0 if the service has no limit or the request states none
     */
    public long counted(String service, OptionalLong tokens) {
        return memory(service).isEmpty() ? 0 : tokens.orElse(0);
    }

    /**
     * A request was sent to a target.
     *
     * @param service service of the request
     * @param target name of the target
     * @param tokens counted tokens
     * @param now the time, nanoseconds
     */
    public void onSent(String service, String target, long tokens, long now) {
        if (tokens > 0) {
            network.targetMemory().onSent(target, tokens, now);
            network.targetMemory().onDecision(service, tokens, true);
        }
    }

    /**
     * A request ended at a target.
     *
     * @param target name of the target
     * @param tokens tokens that it was counted with
     */
    public void onEnded(String target, long tokens) {
        if (tokens > 0) {
            network.targetMemory().onEnded(target, tokens);
        }
    }
}
