package org.sardinelift.testkit;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * TCP relay between clients and a server, for tests of silent connections: it can stop forwarding
 * in either direction without closing or resetting the connection.
 */
public final class SilentRelay implements AutoCloseable {
    private final ServerSocket listener;
    private final int serverPort;
    private final List<Pipe> pipes = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    private SilentRelay(ServerSocket listener, int serverPort) {
        this.listener = listener;
        this.serverPort = serverPort;
    }

    /**
     * Starts a relay on a port of the loopback address.
     *
     * @param serverPort port of the server, on the loopback address
     * @return the running relay
     * @throws IOException if no port can be bound
     */
    public static SilentRelay start(int serverPort) throws IOException {
        SilentRelay relay =
                new SilentRelay(
                        new ServerSocket(0, 16, InetAddress.getLoopbackAddress()), serverPort);
        startDaemon(relay::accept);
        return relay;
    }

    /**
     * Returns the port that clients connect to.
     *
     * @return port number
     */
    public int port() {
        return listener.getLocalPort();
    }

    /** Stops forwarding from open connections to the server, including the end of the stream. */
    public void stopForwardingToServer() {
        pipes.stream().filter(Pipe::toServer).forEach(Pipe::silence);
    }

    /** Stops forwarding from open connections to the client, including the end of the stream. */
    public void stopForwardingToClient() {
        pipes.stream().filter(pipe -> !pipe.toServer()).forEach(Pipe::silence);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket client = listener.accept();
                Socket server = new Socket(InetAddress.getLoopbackAddress(), serverPort);
                sockets.addAll(List.of(client, server));
                startPipe(new Pipe(client, server, true));
                startPipe(new Pipe(server, client, false));
            }
        } catch (IOException expected) {
            // The relay is closed.
        }
    }

    private void startPipe(Pipe pipe) {
        pipes.add(pipe);
        startDaemon(pipe::run);
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    private static final class Pipe {
        private final Socket from;
        private final Socket to;
        private final boolean toServer;
        private volatile boolean silent;

        Pipe(Socket from, Socket to, boolean toServer) {
            this.from = from;
            this.to = to;
            this.toServer = toServer;
        }

        boolean toServer() {
            return toServer;
        }

        void silence() {
            silent = true;
        }

        void run() {
            byte[] buffer = new byte[8192];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                int read = in.read(buffer);
                while (read >= 0) {
                    if (!silent) {
                        out.write(buffer, 0, read);
                    }
                    read = in.read(buffer);
                }
            } catch (IOException expected) {
                // One of the sockets was closed.
            }
            if (!silent) {
                close(to);
            }
        }

        private static void close(Socket socket) {
            try {
                socket.close();
            } catch (IOException expected) {
                // The socket is closed already.
            }
        }
    }
}
