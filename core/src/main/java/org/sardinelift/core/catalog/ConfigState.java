package org.sardinelift.core.catalog;

import org.jspecify.annotations.Nullable;

/**
 * State of one configuration object at one revision of the store.
 *
 * @param ref the object
 * @param revision revision of the store at which this state was written
 * @param item value of the object; null if it was deleted or can't be read, so that it is no longer
 *     in effect
 */
public record ConfigState(ConfigRef ref, long revision, @Nullable ConfigItem item) {}
