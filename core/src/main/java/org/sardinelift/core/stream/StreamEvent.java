package org.sardinelift.core.stream;

/**
 * One event of a stream.
 *
 * @param id number of the event
 * @param data data lines, joined by line feeds
 * @param rawBytes bytes as received, including the empty line that ends the event
 */
public record StreamEvent(long id, String data, byte[] rawBytes) {}
