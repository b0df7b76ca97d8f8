package org.sardinelift.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import org.sardinelift.core.catalog.TeamPlan;

/**
 * History of this entry's fraction of all limits. An account that is opened later replays it, and
 * so has the tokens that it would have if it had existed from the start. Only the latest changes
 * are kept; an account starts empty at the oldest of them, so it never has too many tokens. Times
 * are nanoseconds. Not safe for use by several threads.
 */
final class ShareHistory {
    private static final int MAX_CHANGES = 256;

    private final Deque<Change> changes = new ArrayDeque<>();
    private double fraction;

    /**
     * Records a change.
     *
     * @param newFraction this entry's fraction of all limits from now on
     * @param freshFraction the part of it that was added with full buckets
     * @param now current time
     */
    void add(double newFraction, double freshFraction, long now) {
        fraction = newFraction;
        changes.add(new Change(newFraction, freshFraction, now));
        if (changes.size() > MAX_CHANGES) {
            changes.remove();
        }
    }

    /** This entry's fraction of all limits. */
    double fraction() {
        return fraction;
    }

    /** Opens the account of a team from which no token was taken at this entry so far. */
    TeamAccount openAccount(TeamPlan plan) {
        long since = changes.isEmpty() ? 0 : changes.peek().at();
        TeamAccount account = TeamAccount.open(plan, 0, since);
        changes.forEach(
                change ->
                        account.updateFraction(
                                change.fraction(), change.freshFraction(), change.at()));
        return account;
    }

    private record Change(double fraction, double freshFraction, long at) {}
}
