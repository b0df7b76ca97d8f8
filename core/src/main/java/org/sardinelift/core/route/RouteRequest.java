package org.sardinelift.core.route;

import java.util.Set;

/**
 * Properties of a call that determine its target.
 *
 * @param service service whose targets can run it
 * @param model model or adapter, empty for a plain service
 * @param affinityKey equal for calls that should run on the same target
 * @param failedTargets targets on which this call has failed; used again only if there is no other
 * @param isPinned whether the call must run on the first target in its order, whatever the load
 */
public record RouteRequest(
        String service,
        String model,
        String affinityKey,
        Set<String> failedTargets,
        boolean isPinned) {}
