package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client over plain sockets, with a thread for each connection. */
final class Http {
    private Http() {}

    /** A message: a request or a response, whose first line is split into three words. */
    record Message(String[] first, List<Map.Entry<String, String>> headers, byte[] body) {
        String header(String name) {
            return headers.stream()
                    .filter(each -> each.getKey().equalsIgnoreCase(name))
                    .map(Map.Entry::getValue)
                    .findFirst()
                    .orElse(null);
        }

        List<String> headerValues(String name) {
            return headers.stream()
                    .filter(each -> each.getKey().equalsIgnoreCase(name))
                    .map(Map.Entry::getValue)
                    .toList();
        }

        String method() {
            return first[0];
        }

        String path() {
            int query = first[1].indexOf('?');
            return query < 0 ? first[1] : first[1].substring(0, query);
        }

        String query(String name) {
            int at = first[1].indexOf('?');
            if (at < 0) {
                return null;
            }
            for (String part : first[1].substring(at + 1).split("&")) {
                int equals = part.indexOf('=');
                if (equals > 0 && part.substring(0, equals).equals(name)) {
                    return java.net.URLDecoder.decode(
                            part.substring(equals + 1), StandardCharsets.UTF_8);
                }
            }
            return null;
        }

        int status() {
            return Integer.parseInt(first[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Handles one request of a connection; an exception closes the connection. */
    interface Handler {
        void handle(Message request, Connection connection) throws IOException;
    }

    /** One accepted connection. */
    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream(), 65_536);
            this.out = socket.getOutputStream();
        }

        void respond(int status, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = head(status, headers);
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.writeBytes(body);
            write(all.toByteArray());
        }

        void startChunked(int status, Map<String, String> headers) throws IOException {
            StringBuilder head = head(status, headers);
            head.append("Transfer-Encoding: chunked\r\n\r\n");
            write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        }

        void chunk(byte[] part) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(
                    (Integer.toHexString(part.length) + "\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            all.writeBytes(part);
            all.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            write(all.toByteArray());
        }

        void endChunked() throws IOException {
            write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        /** Closes the connection with a reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        static StringBuilder head(int status, Map<String, String> headers) {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            return head;
        }
    }

    /** A server on one address. */
    static final class Server implements AutoCloseable {
        private final ServerSocket listener;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Server(String host, int port, Handler handler) throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 512);
            start("accept", () -> accept(handler));
        }

        int port() {
            return listener.getLocalPort();
        }

        private void accept(Handler handler) {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    start("connection", () -> serve(socket, handler));
                }
            } catch (IOException e) {
                // The listener was closed.
            }
        }

        private void serve(Socket socket, Handler handler) {
            try (socket) {
                Connection connection = new Connection(socket);
                while (!socket.isClosed()) {
                    Message request = read(connection.in, false);
                    if (request == null) {
                        return;
                    }
                    handler.handle(request, connection);
                }
            } catch (IOException e) {
                // The connection was closed.
            } finally {
                open.remove(socket);
            }
        }

        /** Resets all open connections. */
        void resetConnections() {
            for (Socket socket : open) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException e) {
                    // It is closed already.
                }
            }
        }

        @Override
        public void close() {
            try {
                listener.close();
            } catch (IOException e) {
                // It is closed already.
            }
            resetConnections();
        }
    }

    static void start(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    /** Reads a message; returns null if the connection ends before it. */
    static Message read(InputStream in, boolean isResponse) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        String[] first = line.split(" ", 3);
        List<Map.Entry<String, String>> headers = new ArrayList<>();
        for (String field = line(in); field != null && !field.isEmpty(); field = line(in)) {
            int colon = field.indexOf(':');
            headers.add(Map.entry(field.substring(0, colon), field.substring(colon + 1).trim()));
        }
        Message head = new Message(first, headers, new byte[0]);
        return new Message(first, headers, body(in, head, isResponse));
    }

    private static byte[] body(InputStream in, Message head, boolean isResponse)
            throws IOException {
        String coding = head.header("Transfer-Encoding");
        String length = head.header("Content-Length");
        if (coding != null && coding.toLowerCase(Locale.ROOT).contains("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new EOFException("the connection ended between chunks");
                }
                int count = Integer.parseInt(size.split(";")[0].trim(), 16);
                body.writeBytes(exactly(in, count));
                line(in);
                if (count == 0) {
                    return body.toByteArray();
                }
            }
        }
        if (length != null) {
            return exactly(in, Integer.parseInt(length.trim()));
        }
        return isResponse ? in.readAllBytes() : new byte[0];
    }

    private static byte[] exactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the connection ended inside a body");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended inside a line");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** A client's connection, which may carry several requests one after the other. */
    static final class Client implements AutoCloseable {
        private final Socket socket = new Socket();
        private final InputStream in;

        Client(String host, int port, int timeoutMs) throws IOException {
            socket.connect(new InetSocketAddress(InetAddress.getByName(host), port), 1_000);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        /** Sends a request and reads the whole response; fails if it ends early. */
        Message call(String method, String uri, Map<String, String> headers, byte[] body)
                throws IOException {
            StringBuilder head = new StringBuilder(method + " " + uri + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            head.append("Content-Length: " + body.length + "\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.writeBytes(body);
            socket.getOutputStream().write(all.toByteArray());
            socket.getOutputStream().flush();
            Message response = read(in, true);
            if (response == null) {
                throw new EOFException("the connection was closed without an answer");
            }
            return response;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Sends one request on a new connection. */
    static Message call(
            String host,
            int port,
            int timeoutMs,
            String method,
            String uri,
            Map<String, String> headers,
            byte[] body)
            throws IOException {
        try (Client client = new Client(host, port, timeoutMs)) {
            return client.call(method, uri, headers, body);
        }
    }
}
