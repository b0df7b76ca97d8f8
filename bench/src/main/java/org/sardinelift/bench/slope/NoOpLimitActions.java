package org.sardinelift.bench.slope;

import org.sardinelift.core.limit.Admission;
import org.sardinelift.core.limit.LimitActions;
import org.sardinelift.core.limit.ShareCall;

/** Ignores all actions of a rate limiter. */
final class NoOpLimitActions implements LimitActions {

    @Override
    public void answer(long ticket, Admission admission) {}

    @Override
    public void borrow(String peer, long exchange, String team, double tokens) {}

    @Override
    public void lend(String peer, long exchange, String team, double tokens, long ttlMs) {}

    @Override
    public void callPlatform(ShareCall call) {}
}
