package org.sardinelift.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import org.sardinelift.core.catalog.TeamPlan;

/**
 * What this entry has held of all limits, for accounts that are opened later: an account of a team
 * without requests so far is what it would be if it had been there from the start. Only the latest
 * changes are kept; an account starts empty at the oldest of them, which is never too much. Times
 * are nanoseconds. Not safe for use by several threads.
 */
final class ShareHistory {
    private static final int MAX_STEPS = 256;

    private final Deque<Step> steps = new ArrayDeque<>();
    private double fraction;

    /**
     * Notes a change.
     *
     * @param newFraction this entry's fraction of all limits from now on
     * @param freshFraction the part of it that came with full buckets
     * @param now the time
     */
    void add(double newFraction, double freshFraction, long now) {
        fraction = newFraction;
        steps.add(new Step(newFraction, freshFraction, now));
        if (steps.size() > MAX_STEPS) {
            steps.remove();
        }
    }

    /** This entry's fraction of all limits. */
    double fraction() {
        return fraction;
    }

    /** Opens the account of a team from which nothing was taken here so far. */
    TeamAccount openAccount(TeamPlan plan) {
        long since = steps.isEmpty() ? 0 : steps.peek().at();
        TeamAccount account = TeamAccount.open(plan, 0, since);
        steps.forEach(step -> account.updateFraction(step.fraction(), step.fresh(), step.at()));
        return account;
    }

    private record Step(double fraction, double fresh, long at) {}
}
