package org.sardinelift.objects;

/**
 * Names one object of the platform.
 *
 * @param kind kind of object, such as {@code team}
 * @param name name within the kind; may hold slashes
 */
public record ObjectKey(String kind, String name) {}
