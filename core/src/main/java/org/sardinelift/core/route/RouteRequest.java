package org.sardinelift.core.route;

import java.util.Set;

/**
 * What the router needs to know of a call.
 *
 * @param service service whose targets can run it
 * @param model model or adapter, empty for a plain service
 * @param affinity equal for calls that should meet on one target
 * @param tried targets that have failed this call; used again only where there is no other
 * @param isPinned whether the call must keep to the first target in its order, whatever the load
 */
public record RouteRequest(
        String service,
        String model,
        String affinityKey,
        Set<String> failedTargets,
        boolean isPinned) {}
