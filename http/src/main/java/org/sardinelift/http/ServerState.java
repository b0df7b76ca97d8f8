package org.sardinelift.http;

import java.util.concurrent.atomic.AtomicInteger;

/** State that the connections of one server share. */
final class ServerState {
    final AtomicInteger pendingResponses = new AtomicInteger();
    volatile boolean isClosing;
    volatile boolean closesIdleConnections;
}
