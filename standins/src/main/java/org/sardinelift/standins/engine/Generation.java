package org.sardinelift.standins.engine;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;
import org.sardinelift.http.HttpExchange;

/**
 * A sequence: its prompt, the output so far and the exchange that reads it. Guarded by the lock of
 * {@link DecodeLoop}.
 */
final class Generation {
    private final String id;
    private final Prompt prompt;
    private final long seed;
    private final ResponseFormat form;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private long readyNanos;
    private int produced;
    private boolean finished;
    private @Nullable HttpExchange reader;

    Generation(String id, Prompt prompt, HttpExchange reader) {
        this.id = id;
        this.prompt = prompt;
        this.seed = EngineText.seed(prompt.text());
        this.form = ResponseFormat.of(prompt);
        this.reader = reader;
    }

    String id() {
        return id;
    }

    Prompt prompt() {
        return prompt;
    }

    int produced() {
        return produced;
    }

    boolean isFinished() {
        return finished;
    }

    boolean isReadBy(HttpExchange exchange) {
        return reader == exchange;
    }

    void setReadyNanos(long nanos) {
        readyNanos = nanos;
    }

    boolean isReady(long nowNanos) {
        return nowNanos - readyNanos >= 0;
    }

    /** Produces one token and writes it to the reader; the last one ends the response. */
    void produceToken() {
        String token = EngineText.token(seed, produced);
        produced++;
        append(form.encodeToken(id, prompt, token, produced));
        if (produced >= prompt.maxTokens()) {
            append(form.encodeEnd(id, prompt, EngineText.generate(prompt.text(), produced)));
            finished = true;
            if (reader != null) {
                reader.end();
            }
        }
    }

    /** Continues the output with another reader, from an offset in bytes. */
    void resume(HttpExchange exchange, int offset) {
        reader = exchange;
        startResponse(exchange);
        byte[] written = body.toByteArray();
        if (offset < written.length) {
            exchange.write(Arrays.copyOfRange(written, offset, written.length));
        }
        if (finished) {
            exchange.end();
        }
    }

    int writtenBytes() {
        return body.size();
    }

    void clearReader() {
        reader = null;
    }

    void abortReader() {
        if (reader != null) {
            reader.abort();
        }
    }

    private void append(byte[] part) {
        if (part.length == 0) {
            return;
        }
        body.writeBytes(part);
        if (reader != null) {
            startResponse(reader);
            reader.write(part);
        }
    }

    private void startResponse(HttpExchange exchange) {
        if (!exchange.isStarted()) {
            exchange.start(200, java.util.Map.of("content-type", form.contentType()));
        }
    }
}
