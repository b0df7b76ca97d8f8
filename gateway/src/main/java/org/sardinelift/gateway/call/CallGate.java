package org.sardinelift.gateway.call;

import io.netty.channel.EventLoop;
import java.time.Duration;
import org.sardinelift.core.load.Placement;
import org.sardinelift.core.load.ReturnTimes;
import org.sardinelift.core.poison.DeathTally;
import org.sardinelift.gateway.Adapter;
import org.sardinelift.gateway.GatewaySettings;
import org.sardinelift.gateway.feed.PlanFeed;
import org.sardinelift.gateway.peer.PeerNetwork;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpHandler;
import org.sardinelift.runtime.log.Event;

/** Puts together what admits and forwards calls. */
public final class CallGate {
    /** A request that was there at this many deaths of targets is refused. */
    private static final int DEATHS_TO_REFUSE = 3;

    private static final Duration DEATHS_MEMORY = Duration.ofSeconds(60);
    private static final int MAX_REQUESTS = 10_000;

    private final CallHandler handler;

    private CallGate(CallHandler handler) {
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
    public static CallGate create(
            GatewaySettings settings,
            Adapter adapter,
            EventLoop loop,
            HttpClient targetClient,
            HttpClient peerClient,
            TargetTable table,
            PeerNetwork network,
            PlanFeed plans) {
        DeathTally deaths = DeathTally.create(DEATHS_TO_REFUSE, DEATHS_MEMORY, MAX_REQUESTS);
        network.listen(
                new PeerNetwork.Listener() {
                    @Override
                    public void onDeath(long request, String target) {
                        noteDeath(deaths, request, target, "peer");
                    }
                });
        table.onDeaths(
                (request, target) -> {
                    noteDeath(deaths, request, target, "own");
                    network.reportDeath(request, target);
                });
        Forwarding forwarding =
                new Forwarding(
                        settings,
                        loop,
                        targetClient,
                        table,
                        network,
                        Placement.of(settings.node().zone(), settings.placementMargin()),
                        ReturnTimes.create(),
                        deaths,
                        new ForwardedHeaders(adapter.headers(), adapter.reservedHeaders()),
                        new StallWatch(loop));
        JobProxy jobs = new JobProxy(network, peerClient, settings.node().zone());
        return new CallGate(new CallHandler(forwarding, plans, adapter.jobs(), jobs));
    }

    private static void noteDeath(DeathTally deaths, long request, String target, String source) {
        if (deaths.onDeath(request, target, System.nanoTime())) {
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
