package org.sardinelift.gateway.call;

import java.util.List;
import org.sardinelift.core.load.TargetLoad;
import org.sardinelift.core.plan.SoftwareVersion;
import org.sardinelift.core.resume.VersionHistory;

/** Leaves out targets with a new software version while others can run the call. */
final class SettledVersionFilter implements CandidateFilter {
    private final TargetTable targets;
    private final VersionHistory history;

    SettledVersionFilter(TargetTable targets, VersionHistory history) {
        this.targets = targets;
        this.history = history;
    }

    @Override
    public List<TargetLoad> filter(ForwardedCall call, List<TargetLoad> loads, long now) {
        boolean mayChoose = call.mayBeResumed() && call.group().softwareVersion().isEmpty();
        if (!mayChoose || !history.hasUnsettledVersion(now)) {
            return loads;
        }
        List<TargetLoad> settled =
                loads.stream()
                        .filter(load -> history.isSettled(softwareVersion(load), now))
                        .toList();
        return settled.isEmpty() ? loads : settled;
    }

    private SoftwareVersion softwareVersion(TargetLoad load) {
        return SoftwareVersion.of(targets.find(load.id()).orElseThrow().registration());
    }
}
