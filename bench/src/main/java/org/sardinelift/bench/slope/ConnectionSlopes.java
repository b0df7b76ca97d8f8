package org.sardinelift.bench.slope;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.net.BindException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.jspecify.annotations.Nullable;
import org.sardinelift.bench.load.ProcessSample;
import org.sardinelift.protocol.ConnectionTimings;
import org.sardinelift.protocol.FrameConnection;
import org.sardinelift.protocol.FrameLink;
import org.sardinelift.protocol.FrameListener;
import org.sardinelift.protocol.FrameServer;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Hello;
import org.sardinelift.protocol.generated.Lane;

/** Cost of idle connections, with both ends of each in this process. */
final class ConnectionSlopes {
    private static final int[] CONNECTIONS = {8, 32, 128, 256};
    private static final int EVENT_LOOPS = 2;
    private static final int WARM_UP_CONNECTIONS = 64;
    private static final long SETTLE_MS = 1_500;
    private static final long WINDOW_MS = 2_000;
    private static final int WINDOWS = 3;
    private static final String THREAD_PREFIX = "slopes-links";
    private static final int ENDS = 2;
    private static final double NANOS_PER_SECOND = 1e9;

    private ConnectionSlopes() {}

    static List<Slope> measure() {
        measureIdle(WARM_UP_CONNECTIONS);
        List<Idle> idle =
                IntStream.of(CONNECTIONS).mapToObj(ConnectionSlopes::measureIdle).toList();
        return List.of(
                slope("heap, both ends", "bytes", idle, Idle::heapBytes),
                slope("idle traffic, both ways", "bytes/s", idle, Idle::bytesPerSecond),
                slope("idle processor time, both ends", "us/s", idle, Idle::microsPerSecond));
    }

    private record Idle(
            int connections, double heapBytes, double bytesPerSecond, double microsPerSecond) {}

    private static Slope slope(
            String name, String unit, List<Idle> idle, ToDoubleFunction<Idle> value) {
        List<Point> points =
                idle.stream()
                        .map(each -> new Point(each.connections(), value.applyAsDouble(each)))
                        .toList();
        return new Slope("any", "connections: " + name, "connections", unit, points);
    }

    private static Idle measureIdle(int connections) {
        EventLoopGroup group =
                new MultiThreadIoEventLoopGroup(
                        EVENT_LOOPS,
                        new DefaultThreadFactory(THREAD_PREFIX, true),
                        NioIoHandler.newFactory());
        long heapBefore = Measurements.usedHeapBytes();
        List<FrameLink> links = new ArrayList<>();
        try (FrameServer server = serve(group)) {
            AtomicInteger up = new AtomicInteger();
            for (int index = 0; index < connections; index++) {
                links.add(open(group, server.port(), up));
            }
            sleep(SETTLE_MS);
            if (up.get() != connections) {
                throw new IllegalStateException(
                        up
                                + " of "
                                + connections
                                + " connections are up; run fewer other processes");
            }
            double heap = Measurements.usedHeapBytes() - heapBefore;
            return measureTraffic(connections, heap);
        } catch (BindException e) {
            throw new UncheckedIOException("a loopback port can't be bound", e);
        } finally {
            links.forEach(FrameLink::close);
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
    }

    private static Idle measureTraffic(int connections, double heapBytes) {
        List<Window> windows = IntStream.range(0, WINDOWS).mapToObj(i -> measureWindow()).toList();
        return new Idle(
                connections,
                heapBytes,
                Measurements.median(windows.stream().mapToDouble(Window::bytesPerSecond).toArray()),
                Measurements.median(
                        windows.stream().mapToDouble(Window::microsPerSecond).toArray()));
    }

    private record Window(double bytesPerSecond, double microsPerSecond) {}

    private static Window measureWindow() {
        ProcessSample before = sample();
        long cpuBefore = loopNanos();
        sleep(WINDOW_MS);
        long cpu = loopNanos() - cpuBefore;
        ProcessSample after = sample();
        double seconds = (after.atNanos() - before.atNanos()) / NANOS_PER_SECOND;
        return new Window(
                after.ioBytesPerSecondSince(before) / ENDS,
                TimeUnit.NANOSECONDS.toMicros(cpu) / seconds);
    }

    private static ProcessSample sample() {
        try {
            return ProcessSample.read(ProcessHandle.current().pid());
        } catch (IOException e) {
            throw new UncheckedIOException("this process's counters can't be read", e);
        }
    }

    /**
     * Returns the processor time of the event loops so far, without JIT compiler and garbage
     * collector.
     */
    private static long loopNanos() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        return LongStream.of(threads.getAllThreadIds())
                .filter(id -> isLoop(threads.getThreadInfo(id)))
                .map(threads::getThreadCpuTime)
                .sum();
    }

    private static boolean isLoop(@Nullable ThreadInfo thread) {
        return thread != null && thread.getThreadName().startsWith(THREAD_PREFIX);
    }

    private static FrameServer serve(EventLoopGroup group) throws BindException {
        return FrameServer.start(
                group,
                "127.0.0.1",
                0,
                null,
                () -> hello("companion-1"),
                ConnectionTimings.defaults(),
                new ConnectionCounter(new AtomicInteger()));
    }

    private static FrameLink open(EventLoopGroup group, int port, AtomicInteger up) {
        return FrameLink.open(
                group,
                "127.0.0.1",
                port,
                null,
                () -> hello("entry-1"),
                ConnectionTimings.defaults(),
                new ConnectionCounter(up));
    }

    private static Hello hello(String instance) {
        return new Hello(
                instance,
                "life-1",
                "entry",
                "riga",
                Lane.CONTROL,
                FrameConnection.PROTOCOL_VERSION,
                0);
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while measuring", e);
        }
    }

    private record ConnectionCounter(AtomicInteger up) implements FrameListener {
        @Override
        public void onConnected(FrameConnection connection) {
            up.incrementAndGet();
        }

        @Override
        public void onFrame(FrameConnection connection, Frame frame) {}

        @Override
        public void onDisconnected(FrameConnection connection, String reason) {
            up.decrementAndGet();
        }
    }
}
