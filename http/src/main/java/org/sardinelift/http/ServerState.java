package org.sardinelift.http;

import java.util.concurrent.atomic.AtomicInteger;

/** What the connections of one server have in common. */
final class ServerState {
    final AtomicInteger pendingResponses = new AtomicInteger();
    volatile boolean isClosing;
}
