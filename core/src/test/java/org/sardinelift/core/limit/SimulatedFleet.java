package org.sardinelift.core.limit;

import java.util.function.Consumer;
import org.sardinelift.core.catalog.TeamPlan;

/** One way of limiting teams over a fleet, driven in virtual time. */
interface SimulatedFleet {

    /** A new life of an instance starts. */
    void start(String node);

    /** A request reaches an instance; the answer tells whether it was admitted. */
    void request(String node, TeamPlan team, Consumer<Admission> answer);
}
