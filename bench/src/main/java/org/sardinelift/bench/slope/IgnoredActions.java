package org.sardinelift.bench.slope;

import org.sardinelift.core.limit.Admission;
import org.sardinelift.core.limit.LimitActions;
import org.sardinelift.core.limit.ShareCall;

/** Does nothing of what limits ask for. */
final class IgnoredActions implements LimitActions {

    @Override
    public void answer(long ticket, Admission admission) {}

    @Override
    public void borrow(String peer, long exchange, String team, double tokens) {}

    @Override
    public void lend(String peer, long exchange, String team, double tokens, long ttlMs) {}

    @Override
    public void callPlatform(ShareCall call) {}
}
