package org.sardinelift.gateway.call;

import io.netty.channel.EventLoop;
import java.time.Duration;
import org.sardinelift.core.load.Placement;
import org.sardinelift.core.load.RetryAfterSchedule;
import org.sardinelift.core.poison.TargetDeathCounter;
import org.sardinelift.gateway.GatewaySettings;
import org.sardinelift.gateway.PlatformAdapter;
import org.sardinelift.gateway.feed.PlanFeed;
import org.sardinelift.gateway.peer.PeerNetwork;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpHandler;
import org.sardinelift.runtime.log.Event;

/** Puts together what admits and forwards calls. */
public final class CallPipeline {
    /** A request that was there at this many deaths of targets is refused. */
    private static final int DEATHS_TO_REFUSE = 3;

    private static final Duration DEATHS_MEMORY = Duration.ofSeconds(60);
    private static final int MAX_REQUESTS = 10_000;

    private final CallHandler handler;

    private CallPipeline(CallHandler handler) {
        this.handler = handler;
    }

    /**
     * Puts the parts together.
     *
     * @param settings bounds
     * @param adapter names of headers and calls
     * @param loop the event loop of traffic
     * @param targetClient sends calls to targets
     * @param peerClient sends calls to workers
     * @param table the targets
     * @param network the other instances
     * @param plans the configuration in force
     * @return the gate
     */
    public static CallPipeline create(
            GatewaySettings settings,
            PlatformAdapter adapter,
            EventLoop loop,
            HttpClient targetClient,
            HttpClient peerClient,
            TargetTable table,
            PeerNetwork network,
            PlanFeed plans) {
        TargetDeathCounter deaths =
                TargetDeathCounter.create(DEATHS_TO_REFUSE, DEATHS_MEMORY, MAX_REQUESTS);
        network.addListener(
                new PeerNetwork.Listener() {
                    @Override
                    public void onTargetDeath(long request, String target) {
                        noteDeath(deaths, request, target, "peer");
                    }
                });
        table.setDeathListener(
                (request, target) -> {
                    noteDeath(deaths, request, target, "own");
                    network.reportTargetDeath(request, target);
                });
        ForwardingContext forwarding =
                new ForwardingContext(
                        settings,
                        loop,
                        targetClient,
                        table,
                        network,
                        Placement.of(settings.node().zone(), settings.placementMargin()),
                        RetryAfterSchedule.create(),
                        deaths,
                        new ForwardedHeaders(adapter.headerNames(), adapter.reservedHeaders()),
                        new StallDetector(loop));
        JobProxy jobs = new JobProxy(network, peerClient, settings.node().zone());
        return new CallPipeline(new CallHandler(forwarding, plans, adapter.jobs(), jobs));
    }

    private static void noteDeath(
            TargetDeathCounter deaths, long request, String target, String source) {
        if (deaths.onTargetDeath(request, target, System.nanoTime())) {
            Event.of("target.died")
                    .with("target", target)
                    .with("request_hash", Long.toHexString(request))
                    .with("source", source)
                    .info();
        }
    }

    /**
     * Answers callers.
     *
     * @return the handler
     */
    public HttpHandler handler() {
        return handler;
    }
}
