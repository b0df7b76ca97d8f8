package org.sardinelift.gateway.call;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.sardinelift.core.load.TargetLoad;
import org.sardinelift.core.plan.SoftwareVersion;
import org.sardinelift.core.resume.RecordedVersions;

/**
 * Leaves out, for streams that begin, targets with a software version that the record in the store
 * isn't known to hold, or that other instances may not have listed yet.
 */
final class SettledVersionFilter implements CandidateFilter {
    private final TargetTable targets;
    private final RecordedVersions recorded;

    SettledVersionFilter(TargetTable targets, RecordedVersions recorded) {
        this.targets = targets;
        this.recorded = recorded;
    }

    @Override
    public List<TargetLoad> filter(ForwardedCall call, List<TargetLoad> loads, long now) {
        boolean mayChoose = call.mayBeResumed() && call.group().softwareVersion().isEmpty();
        if (!mayChoose || recorded.allowsAllVersions(now)) {
            return loads;
        }
        Set<SoftwareVersion> available =
                loads.stream().map(this::softwareVersion).collect(Collectors.toSet());
        Set<SoftwareVersion> selected = recorded.selectForNewStreams(available, now);
        return selected.equals(available)
                ? loads
                : loads.stream().filter(load -> selected.contains(softwareVersion(load))).toList();
    }

    private SoftwareVersion softwareVersion(TargetLoad load) {
        return SoftwareVersion.of(targets.find(load.id()).orElseThrow().registration());
    }
}
