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
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 server and client with blocking sockets on 127.0.0.1. */
final class Http {
    private Http() {}

    /** A request or a response; names of headers are in lower case. */
    static final class Message {
        String method = "";
        String uri = "";
        int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        Socket socket;

        String header(String name) {
            return headers.get(name);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        String path() {
            int query = uri.indexOf('?');
            return query < 0 ? uri : uri.substring(0, query);
        }

        String query(String name) {
            int query = uri.indexOf('?');
            if (query >= 0) {
                for (String part : uri.substring(query + 1).split("&")) {
                    if (part.startsWith(name + "=")) {
                        return java.net.URLDecoder.decode(
                                part.substring(name.length() + 1), StandardCharsets.UTF_8);
                    }
                }
            }
            return null;
        }
    }

    /** Answers a request by writing to the stream; closes the connection if it throws. */
    interface Handler {
        void handle(Message request, OutputStream out) throws Exception;
    }

    static ServerSocket serve(int port, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 200);
        Thread acceptor =
                new Thread(
                        () -> {
                            while (!server.isClosed()) {
                                try {
                                    Socket socket = server.accept();
                                    Thread thread = new Thread(() -> serve(socket, handler));
                                    thread.setDaemon(true);
                                    thread.start();
                                } catch (IOException e) {
                                    return;
                                }
                            }
                        });
        acceptor.setDaemon(true);
        acceptor.start();
        return server;
    }

    private static void serve(Socket socket, Handler handler) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
            OutputStream out = socket.getOutputStream();
            while (true) {
                Message request = new Message();
                request.socket = socket;
                String[] words = line(in).split(" ");
                request.method = words[0];
                request.uri = words[1];
                readRest(in, request, false);
                handler.handle(request, out);
                out.flush();
            }
        } catch (Exception e) {
            // The peer has closed the connection, or the handler does so.
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException();
            }
            if (next == '\n') {
                String line = bytes.toString(StandardCharsets.ISO_8859_1);
                return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
            }
            bytes.write(next);
        }
    }

    private static void readRest(InputStream in, Message message, boolean untilEnd)
            throws IOException {
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
            int size = Integer.parseInt(line(in).trim(), 16);
            while (size > 0) {
                body.write(readFully(in, size));
                line(in);
                size = Integer.parseInt(line(in).trim(), 16);
            }
            line(in);
        } else if (message.header("content-length") != null) {
            body.write(readFully(in, Integer.parseInt(message.header("content-length"))));
        } else if (untilEnd) {
            in.transferTo(body);
        }
        message.body = body.toByteArray();
    }

    private static byte[] readFully(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException();
        }
        return bytes;
    }

    static void respond(OutputStream out, int status, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Length: " + body.length + "\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    static void respondJson(OutputStream out, int status, Object json) throws IOException {
        respond(
                out,
                status,
                Map.of("Content-Type", "application/json"),
                Json.write(json).getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a request over a new connection; throws if no whole response arrives in time. */
    static Message call(
            int port, String method, String uri, Map<String, String> headers, byte[] body, int ms)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setSoTimeout(ms);
            socket.setTcpNoDelay(true);
            OutputStream out = socket.getOutputStream();
            StringBuilder head = new StringBuilder(method + " " + uri + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            head.append("Content-Length: " + body.length + "\r\n\r\n");
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
            Message response = new Message();
            String status = line(in);
            response.status = Integer.parseInt(status.split(" ")[1]);
            readRest(in, response, true);
            return response;
        }
    }
}
