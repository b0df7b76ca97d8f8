package org.sardinelift.gateway.call;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.sardinelift.core.admission.ShutdownWindow;
import org.sardinelift.core.load.Placement;
import org.sardinelift.core.load.RetryAfterSchedule;
import org.sardinelift.gateway.GatewaySettings;
import org.sardinelift.gateway.PlatformAdapter;
import org.sardinelift.gateway.feed.PlanFeed;
import org.sardinelift.gateway.peer.PeerNetwork;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpHandler;

/** Assembles the components that admit and forward calls. */
public final class CallPipeline {
    private final CallHandler handler;

    private CallPipeline(CallHandler handler) {
        this.handler = handler;
    }

    /**
     * Creates the pipeline and registers its listeners.
     *
     * @param settings settings of the gateway
     * @param adapter header names and the batch job interface of the platform
     * @param loop event loop that handles the traffic
     * @param targetClient sends calls to targets
     * @param peerClient sends calls to workers
     * @param table the targets
     * @param network the other instances
     * @param plans the configuration in force
     * @param shutdown time that the gateway has left for calls
     * @return the pipeline
     */
    public static CallPipeline create(
            GatewaySettings settings,
            PlatformAdapter adapter,
            EventLoop loop,
            HttpClient targetClient,
            HttpClient peerClient,
            TargetTable table,
            PeerNetwork network,
            PlanFeed plans,
            Supplier<ShutdownWindow> shutdown) {
        table.setDeathListener(network.crashes()::onTargetDeath);
        if (settings.hasFairShares()) {
            ShortageSampler sampler = new ShortageSampler(table, network);
            network.shares().enable(sampler, settings.typicalCallTime());
        }
        TargetMemoryLimits memory = new TargetMemoryLimits(plans, network);
        ExpectedWeights weights = new ExpectedWeights(table);
        ForwardingContext context =
                new ForwardingContext(
                        settings,
                        loop,
                        targetClient,
                        table,
                        network,
                        Placement.of(settings.node().zone(), settings.placementMargin()),
                        RetryAfterSchedule.create(),
                        ForwardedHeaders.of(adapter),
                        new StallDetector(loop),
                        memory,
                        weights,
                        candidateFilters(settings, targetClient, table, network, memory, weights));
        ShutdownGuard guard = new ShutdownGuard(shutdown, network);
        JobProxy jobs = new JobProxy(network, peerClient, settings.node().zone(), guard);
        return new CallPipeline(new CallHandler(context, plans, adapter, jobs, guard));
    }

    private static List<CandidateFilter> candidateFilters(
            GatewaySettings settings,
            HttpClient targetClient,
            TargetTable table,
            PeerNetwork network,
            TargetMemoryLimits memory,
            ExpectedWeights weights) {
        List<CandidateFilter> filters = new ArrayList<>();
        filters.add(memory);
        filters.add(weights);
        filters.add(new SettledVersionFilter(table, network.streams().recorded()));
        filters.add(new RateLimitedTargetFilter(table, network.rateLimits()));
        if (!settings.unrepeatableReuseTime().isZero()) {
            filters.add(new ConnectionFilter(table, targetClient));
        }
        return filters;
    }

    /**
     * Handles callers' requests.
     *
     * @return the handler
     */
    public HttpHandler handler() {
        return handler;
    }
}
