package org.sardinelift.gateway.call;

import java.time.Duration;
import java.util.List;
import org.sardinelift.core.load.TargetLoad;
import org.sardinelift.core.plan.RegisteredTarget;
import org.sardinelift.http.HttpClient;

/** Marks the targets to which a call would need a new connection. */
final class ConnectionFilter implements CandidateFilter {
    private final TargetTable targets;
    private final HttpClient client;

    ConnectionFilter(TargetTable targets, HttpClient client) {
        this.targets = targets;
        this.client = client;
    }

    @Override
    public List<TargetLoad> filter(ForwardedCall call, List<TargetLoad> loads, long now) {
        Duration maxIdle = call.context().maxConnectionIdle(call.call().route());
        return loads.stream()
                .map(load -> isConnected(load, maxIdle) ? load : load.withNewConnection())
                .toList();
    }

    private boolean isConnected(TargetLoad load, Duration maxIdle) {
        RegisteredTarget target = targets.find(load.id()).orElseThrow().registration();
        return client.hasIdleConnection(target.host(), target.port(), maxIdle);
    }
}
