package org.sardinelift.gateway.call;

import org.sardinelift.core.plan.RegisteredTarget;

/** A reason other than its health for which a target gets no requests. Used on the event loop. */
public interface TargetExclusion {
    /**
     * Whether nothing may be sent to a target.
     *
     * @param target the target
     * @return true if it gets neither calls nor batch items nor probes
     */
    boolean isExcluded(RegisteredTarget target);
}
