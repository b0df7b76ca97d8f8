package org.sardinelift.standins;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;

/** Starts and stops Netty event loops. */
public final class EventLoops {
    private static final long SHUTDOWN_QUIET_MS = 0;
    private static final long SHUTDOWN_TIMEOUT_MS = 2_000;

    private EventLoops() {}

    /**
     * Starts daemon event loops.
     *
     * @param name prefix of the thread names
     * @param threads number of threads
     * @return the event loops
     */
    public static EventLoopGroup start(String name, int threads) {
        return new MultiThreadIoEventLoopGroup(
                threads, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }

    /**
     * Starts the shutdown of event loops without waiting for it.
     *
     * @param group the event loops
     */
    public static void stop(EventLoopGroup group) {
        group.shutdownGracefully(SHUTDOWN_QUIET_MS, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}
