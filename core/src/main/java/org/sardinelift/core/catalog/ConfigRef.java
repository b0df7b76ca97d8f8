package org.sardinelift.core.catalog;

/**
 * Reference to a configuration object.
 *
 * @param kind kind of the object
 * @param name name of the object, unique in its kind
 */
public record ConfigRef(ConfigKind kind, String name) {}
