package org.sardinelift.entry.control;

import java.util.ArrayList;
import java.util.List;
import org.sardinelift.entry.peer.Peers;
import org.sardinelift.protocol.FrameConnection;
import org.sardinelift.protocol.FrameListener;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Hello;

/** Peers that record the sent frames and deliver frames given by the test. */
final class FakePeers implements Peers {
    private final List<Frame> sent = new ArrayList<>();
    private final List<FrameListener> listeners = new ArrayList<>();

    @Override
    public synchronized void broadcast(Frame frame) {
        sent.add(frame);
    }

    @Override
    public synchronized boolean send(String instance, Frame frame) {
        return sent.add(frame);
    }

    @Override
    public List<String> connected() {
        return List.of();
    }

    @Override
    public synchronized void addListener(FrameListener listener) {
        listeners.add(listener);
    }

    synchronized List<Frame> sent() {
        return List.copyOf(sent);
    }

    void deliver(String instance, Frame frame) {
        Hello hello = new Hello().setInstance(instance).setRole("entry");
        FrameConnection connection =
                new FrameConnection() {
                    @Override
                    public boolean send(Frame answer) {
                        return FakePeers.this.send(instance, answer);
                    }

                    @Override
                    public Hello peer() {
                        return hello;
                    }

                    @Override
                    public void close(String reason) {}
                };
        List.copyOf(listeners).forEach(listener -> listener.onFrame(connection, frame));
    }
}
