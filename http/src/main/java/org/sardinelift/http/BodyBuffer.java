package org.sardinelift.http;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects the parts of a body. Unlike a growing array it holds no more than their bytes until the
 * body is complete. Not thread-safe.
 */
public final class BodyBuffer {
    private final List<byte[]> parts = new ArrayList<>();
    private int size;

    private BodyBuffer() {}

    /**
     * Creates an empty buffer.
     *
     * @return the buffer
     */
    public static BodyBuffer create() {
        return new BodyBuffer();
    }

    /**
     * Adds a part.
     *
     * @param part bytes, which must not change any more
     */
    public void add(byte[] part) {
        parts.add(part);
        size += part.length;
    }

    /**
     * Returns the length of the parts together.
     *
     * @return number of bytes
     */
    public int size() {
        return size;
    }

    /**
     * Returns the body.
     *
     * @return a copy of all parts in order
     */
    public byte[] toByteArray() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(size);
        parts.forEach(bytes::writeBytes);
        return bytes.toByteArray();
    }
}
