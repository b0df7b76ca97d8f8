package org.sardinelift.gateway.call;

import java.util.List;
import org.sardinelift.core.load.TargetLoad;

/**
 * Narrows the targets that a call may be sent to, before one of them is chosen. Used on the event
 * loop.
 */
interface CandidateFilter {
    /**
     * Leaves out or changes loads of targets.
     *
     * @param call the call
     * @param loads loads of the targets that may run it
     * @param now the time, nanoseconds
     * @return the loads to choose from
     */
    List<TargetLoad> filter(ForwardedCall call, List<TargetLoad> loads, long now);
}
