package org.sardinelift.entry.control;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.sardinelift.core.explain.DecisionAction;
import org.sardinelift.core.explain.DecisionRecorder;
import org.sardinelift.core.fleet.FleetView;
import org.sardinelift.core.fleet.InstanceInfo;
import org.sardinelift.core.limit.MemberId;
import org.sardinelift.core.limit.Shares;
import org.sardinelift.entry.peer.Peers;
import org.sardinelift.objects.WriteResult;

/** Records the shares that this entry reclaims, and lists those still to be reclaimed. */
public final class ShareReclaimMonitor implements SharesListener {
    private final MemberId self;
    private final DecisionRecorder decisions;
    private final Supplier<FleetView> fleet;
    private final Peers peers;
    private volatile Shares lastShares = Shares.initial();

    private ShareReclaimMonitor(
            MemberId self, DecisionRecorder decisions, Supplier<FleetView> fleet, Peers peers) {
        this.self = self;
        this.decisions = decisions;
        this.fleet = fleet;
        this.peers = peers;
    }

    /**
     * Creates a monitor that has seen no shares.
     *
     * @param self this incarnation of this entry
     * @param decisions records what was reclaimed
     * @param fleet the members of the fleet
     * @param peers the other entries
     * @return the monitor
     */
    public static ShareReclaimMonitor of(
            MemberId self, DecisionRecorder decisions, Supplier<FleetView> fleet, Peers peers) {
        return new ShareReclaimMonitor(self, decisions, fleet, peers);
    }

    @Override
    public void onRead(Shares shares) {
        lastShares = shares;
    }

    @Override
    public void onWritten(Shares shares, WriteResult result) {
        if (!(result instanceof WriteResult.Written)) {
            return;
        }
        Shares before = lastShares;
        lastShares = shares;
        before.members().keySet().stream()
                .filter(member -> !member.equals(self) && !shares.members().containsKey(member))
                .forEach(member -> recordReclaim(member, before));
    }

    private void recordReclaim(MemberId member, Shares before) {
        decisions.record(
                DecisionAction.SHARE_RECLAIMED,
                member.instance(),
                "it is off the list of instances and no connection to it is open",
                Map.of("share", fraction(before.units(member))));
    }

    /**
     * Returns the shares of instances that are neither members nor connected. Safe for use by any
     * thread.
     *
     * @return their names, each with its part of the limits
     */
    public List<String> pendingReclaims() {
        Set<String> live =
                Stream.concat(
                                fleet.get().entries().stream().map(InstanceInfo::name),
                                peers.connected().stream())
                        .collect(Collectors.toSet());
        Shares shares = lastShares;
        return shares.members().keySet().stream()
                .filter(member -> !member.equals(self) && !live.contains(member.instance()))
                .map(member -> member.instance() + ":" + fraction(shares.units(member)))
                .toList();
    }

    private static String fraction(long units) {
        return String.format(Locale.ROOT, "%.3f", units / (double) Shares.TOTAL_UNITS);
    }
}
