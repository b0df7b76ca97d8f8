package org.sardinelift.entry.call;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.fleet.FleetView;
import org.sardinelift.core.fleet.InstanceInfo;
import org.sardinelift.core.order.TargetView;
import org.sardinelift.core.route.Candidate;
import org.sardinelift.core.route.Ejection;
import org.sardinelift.protocol.generated.Lane;

/** The companions of the fleet, by name, each with its connections. */
final class CompanionTable {
    private final CallBounds bounds;
    private final LinkOpener opener;
    private final CompanionListener companionListener;
    private final Map<String, CompanionLink> companions = new ConcurrentHashMap<>();

    CompanionTable(CallBounds bounds, LinkOpener opener, CompanionListener companionListener) {
        this.bounds = bounds;
        this.opener = opener;
        this.companionListener = companionListener;
    }

    /** Connects to new companions and closes the connections to unlisted ones without calls. */
    synchronized void update(FleetView view) {
        Set<String> listed = new HashSet<>();
        for (InstanceInfo companion : view.companions()) {
            listed.add(companion.name());
            companions
                    .computeIfAbsent(companion.name(), name -> open(companion))
                    .setListedLeaving(companion.isLeaving());
        }
        for (CompanionLink link : List.copyOf(companions.values())) {
            if (!listed.contains(link.name())) {
                link.setListedLeaving(true);
                if (link.isIdle()) {
                    companions.remove(link.name());
                    link.close();
                }
            }
        }
    }

    @Nullable CompanionLink find(String name) {
        return companions.get(name);
    }

    List<Candidate> candidates(Lane lane, long nowNanos) {
        return companions.values().stream()
                .map(link -> link.candidate(lane, nowNanos))
                .collect(Collectors.toList());
    }

    List<TargetView> targetViews() {
        return companions.values().stream()
                .flatMap(link -> link.targetView().stream())
                .collect(Collectors.toList());
    }

    int freeBatchSlots(String service, String model, long nowNanos) {
        return companions.values().stream()
                .mapToInt(link -> link.freeBatchSlots(service, model, nowNanos))
                .sum();
    }

    synchronized void close() {
        companions.values().forEach(CompanionLink::close);
        companions.clear();
    }

    private CompanionLink open(InstanceInfo companion) {
        Ejection ejection =
                Ejection.of(
                        bounds.failuresToEject(),
                        bounds.firstEjection().toNanos(),
                        bounds.longestEjection().toNanos());
        return CompanionLink.open(companion, ejection, opener, companionListener);
    }
}
