package org.sardinelift.core.limit;

import java.util.function.Consumer;
import org.sardinelift.core.catalog.TeamPlan;

/** Limits the requests of each team to its rate and burst over all instances together. */
public interface TeamLimiter {

    /**
     * Counts one request. The answer may be given at once on the calling thread, or later on
     * another thread.
     *
     * @param team the team's plan
     * @param answer receives the answer exactly once
     */
    void admit(TeamPlan team, Consumer<Admission> answer);
}
