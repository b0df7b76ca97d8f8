package org.sardinelift.objects;

/**
 * Kind and name that identify one object of the platform.
 *
 * @param kind kind of object, such as {@code team}
 * @param name name within the kind; may contain slashes
 */
public record ObjectKey(String kind, String name) {}
