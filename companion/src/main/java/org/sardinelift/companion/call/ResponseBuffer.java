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
 * Response of one attempt: forwarded to the entry as it arrives, and kept so that it can be
 * replayed over another connection. Only the latest source may add to it. Thread-safe.
 */
final class ResponseBuffer {
    private final AttemptId id;
    private final long maxKeptBytes;
    private final List<byte[]> parts = new ArrayList<>();
    private @Nullable FrameConnection connection;
    private @Nullable Object source;
    private @Nullable Frame head;
    private @Nullable Frame finish;
    private boolean isKept = true;
    private long length;

    ResponseBuffer(AttemptId id, FrameConnection connection, long maxKeptBytes) {
        this.id = id;
        this.connection = connection;
        this.maxKeptBytes = maxKeptBytes;
    }

    /** Sets the only source that may add to the response; null for none. */
    synchronized void setSource(@Nullable Object latest) {
        source = latest;
    }

    synchronized boolean isCurrentSource(Object candidate) {
        return source == candidate;
    }

    synchronized void writeHead(Object from, int status, Map<String, String> headers) {
        if (from == source && head == null && finish == null) {
            head = Frame.head(new Head(id.requestId(), id.attempt(), status, headers));
            send(head);
        }
    }

    synchronized void writeData(Object from, byte[] part) {
        if (from != source || finish != null) {
            return;
        }
        send(dataFrame(length, part));
        length += part.length;
        if (isKept && length <= maxKeptBytes) {
            parts.add(part);
        } else {
            isKept = false;
            parts.clear();
        }
    }

    /** Ends the response if the source is still the latest; only the first end counts. */
    synchronized boolean finish(Object from, Finish end) {
        return from == source && finish(end);
    }

    /** Ends the response regardless of its source; only the first end counts. */
    synchronized boolean finish(Finish end) {
        if (finish != null) {
            return false;
        }
        finish = Frame.finish(end.setLength(length));
        send(finish);
        return true;
    }

    /** Whether the body from the offset on is still available. */
    synchronized boolean canReplayFrom(long offset) {
        return offset <= length && (isKept || offset == length);
    }

    /** Continues over another connection, to an entry that has the body up to the offset. */
    synchronized void attach(FrameConnection next, long offset) {
        connection = next;
        if (head != null) {
            send(head);
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

    synchronized boolean isAttachedTo(FrameConnection candidate) {
        return connection == candidate;
    }

    synchronized long length() {
        return length;
    }

    synchronized boolean isFinished() {
        return finish != null;
    }

    synchronized boolean isStarted() {
        return head != null;
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
