package org.sardinelift.core.stream;

/**
 * One event of a stream.
 *
 * @param id its number
 * @param data its data lines, joined by line feeds
 * @param rawBytes its bytes as received, with the empty line that ends it
 */
public record StreamEvent(long id, String data, byte[] rawBytes) {}
