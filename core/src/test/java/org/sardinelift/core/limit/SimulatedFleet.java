package org.sardinelift.core.limit;

import java.util.function.Consumer;
import org.sardinelift.core.catalog.TeamPlan;

/** A fleet under one approach to limiting teams, driven in virtual time. */
interface SimulatedFleet {

    /** Starts a new incarnation of an instance. */
    void start(String node);

    /** Sends a request to an instance; the answer says whether it was admitted. */
    void request(String node, TeamPlan team, Consumer<Admission> answer);
}
