package org.sardinelift.gateway.call;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.sardinelift.core.load.TargetLoad;

/**
 * Leaves out targets that lack the version of the weights that a call or batch item expects. Used
 * on the event loop.
 */
public final class ExpectedWeights implements CandidateFilter {
    private final TargetTable targets;

    /**
     * Creates the filter.
     *
     * @param targets the targets, with the versions that their responses show
     */
    public ExpectedWeights(TargetTable targets) {
        this.targets = targets;
    }

    @Override
    public List<TargetLoad> filter(ForwardedCall call, List<TargetLoad> loads, long now) {
        return matching(call.call().expectedWeights(), loads, now);
    }

    /**
     * Leaves out targets that lack a version of the weights.
     *
     * @param version the version, empty if any will do
     * @param loads loads of targets
     * @param now the time, nanoseconds
     * @return the loads of the targets that may have the version
     */
    public List<TargetLoad> matching(Optional<String> version, List<TargetLoad> loads, long now) {
        return version.map(
                        expected ->
                                loads.stream()
                                        .filter(load -> untilRequest(load, expected, now) == 0)
                                        .toList())
                .orElse(loads);
    }

    /**
     * Time until a request may be sent that no target can run for the weights that it expects.
     *
     * @param version the version that it expects, empty if any will do
     * @param loads loads of the targets of its service
     * @param now the time, nanoseconds
     * @return the time, or empty if a target may have the version, or if there are no targets
     */
    public Optional<Duration> untilRequest(
            Optional<String> version, List<TargetLoad> loads, long now) {
        return version.flatMap(
                        expected ->
                                loads.stream()
                                        .map(load -> untilRequest(load, expected, now))
                                        .min(Long::compare))
                .filter(nanos -> nanos > 0)
                .map(Duration::ofNanos);
    }

    private long untilRequest(TargetLoad load, String version, long now) {
        return targets.find(load.id())
                .map(target -> target.weights().nanosUntilRequest(version, now))
                .orElse(0L);
    }
}
