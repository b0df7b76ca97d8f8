import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A caller that keeps its connection and reads streamed responses to their end. */
final class Caller implements AutoCloseable {
    private final int port;
    private Socket socket;
    private InputStream in;

    /** How a call ended. */
    static final class Answer {
        int status;
        boolean isComplete;
        String failure = "";
        String stamp;
        String text = "";
    }

    Caller(int port) {
        this.port = port;
    }

    boolean isConnected() {
        return socket != null;
    }

    Answer call(String uri, Map<String, String> headers, byte[] body, int ms) {
        Answer answer = new Answer();
        try {
            if (socket == null) {
                socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
                in = new BufferedInputStream(socket.getInputStream(), 8192);
            }
            socket.setSoTimeout(ms);
            OutputStream out = socket.getOutputStream();
            StringBuilder head = new StringBuilder("POST " + uri + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            head.append("Content-Length: " + body.length + "\r\n\r\n");
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            read(answer);
        } catch (Exception e) {
            answer.failure = String.valueOf(e);
            close();
        }
        return answer;
    }

    private void read(Answer answer) throws Exception {
        answer.status = Integer.parseInt(line().split(" ")[1]);
        boolean isChunked = false;
        boolean isClosed = false;
        int length = 0;
        for (String line = line(); !line.isEmpty(); line = line()) {
            String lower = line.toLowerCase(java.util.Locale.ROOT);
            isChunked |= lower.startsWith("transfer-encoding: chunked");
            isClosed |= lower.startsWith("connection: close");
            if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(lower.substring(15).trim());
            }
            if (lower.startsWith("sardinelift-server-stamp:")) {
                answer.stamp = line.substring(25).trim();
            }
        }
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            while (isChunked) {
                int size = Integer.parseInt(line().trim(), 16);
                text.write(exactly(size));
                line();
                isChunked = size > 0;
            }
            text.write(exactly(length));
            answer.isComplete = true;
        } finally {
            answer.text = text.toString(StandardCharsets.UTF_8);
        }
        if (isClosed) {
            close();
        }
    }

    private byte[] exactly(int size) throws Exception {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the response ends early");
        }
        return bytes;
    }

    private String line() throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException(
                        bytes.size() == 0 ? "closed" : "the connection ends within a line");
            }
            bytes.write(next);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (Exception e) {
            // It is closed anyway.
        }
        socket = null;
    }
}
