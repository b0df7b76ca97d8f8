package org.sardinelift.companion.call;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sardinelift.companion.outcome.AttemptId;
import org.sardinelift.protocol.FrameConnection;
import org.sardinelift.protocol.generated.Data;
import org.sardinelift.protocol.generated.Finish;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Head;

/**
 * The answer of one attempt: passed on as it comes, and kept so that it can be passed on again over
 * another connection. Only the newest source may add to it. Safe for use by several threads.
 */
final class Answer {
    private final AttemptId id;
    private final long maxKeptBytes;
    private final List<byte[]> parts = new ArrayList<>();
    private @Nullable FrameConnection connection;
    private @Nullable Object source;
    private @Nullable Frame writeHead;
    private @Nullable Frame finish;
    private boolean kept = true;
    private long length;

    Answer(AttemptId id, FrameConnection connection, long maxKeptBytes) {
        this.id = id;
        this.connection = connection;
        this.maxKeptBytes = maxKeptBytes;
    }

    /** From now on only this source may add; null for none. */
    synchronized void source(@Nullable Object newest) {
        source = newest;
    }

    synchronized boolean from(Object other) {
        return source == other;
    }

    synchronized void writeHead(Object from, int status, Map<String, String> headers) {
        if (from == source && writeHead == null && finish == null) {
            writeHead = Frame.head(new Head(id.requestId(), id.attempt(), status, headers));
            send(writeHead);
        }
    }

    synchronized void writeData(Object from, byte[] part) {
        if (from != source || finish != null) {
            return;
        }
        send(dataFrame(length, part));
        length += part.length;
        if (kept && length <= maxKeptBytes) {
            parts.add(part);
        } else {
            kept = false;
            parts.clear();
        }
    }

    /** Ends the answer where the source is still the newest; only the first end counts. */
    synchronized boolean finish(Object from, Finish end) {
        return from == source && finish(end);
    }

    /** Ends the answer whatever its source; only the first end counts. */
    synchronized boolean finish(Finish end) {
        if (finish != null) {
            return false;
        }
        finish = Frame.finish(end.setLength(length));
        send(finish);
        return true;
    }

    /** Whether the body can be passed on from an offset. */
    synchronized boolean canReplayFrom(long offset) {
        return offset <= length && (kept || offset == length);
    }

    /** Goes on over another connection, whose entry holds the body up to an offset. */
    synchronized void attach(FrameConnection next, long offset) {
        connection = next;
        if (writeHead != null) {
            send(writeHead);
        }
        long at = 0;
        for (byte[] part : parts) {
            long skip = Math.max(0, offset - at);
            if (skip < part.length) {
                send(dataFrame(at + skip, Arrays.copyOfRange(part, (int) skip, part.length)));
            }
            at += part.length;
        }
        if (finish != null) {
            send(finish);
        }
    }

    synchronized boolean on(FrameConnection other) {
        return connection == other;
    }

    synchronized long length() {
        return length;
    }

    synchronized boolean isFinished() {
        return finish != null;
    }

    synchronized boolean isStarted() {
        return writeHead != null;
    }

    private void send(Frame frame) {
        if (connection != null && !connection.send(frame)) {
            connection = null;
        }
    }

    private Frame dataFrame(long offset, byte[] part) {
        return Frame.data(
                new Data()
                        .setRequestId(id.requestId())
                        .setAttempt(id.attempt())
                        .setOffset(offset)
                        .setBody(part));
    }
}
