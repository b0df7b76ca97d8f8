package org.sardinelift.core.catalog;

import java.util.Set;

/**
 * A service provided by targets.
 *
 * @param name service name
 * @param isEngine whether its targets are model engines; otherwise it is a plain service
 * @param models models and adapters that it serves, empty for a plain service
 * @param isOpen whether requests need no key
 * @param repeatableMethods HTTP methods whose calls may be repeated
 * @param checksFence whether its targets refuse orders with an old fencing number themselves
 */
public record ServiceSpec(
        String name,
        boolean isEngine,
        Set<String> models,
        boolean isOpen,
        Set<String> repeatableMethods,
        boolean checksFence)
        implements ConfigItem {}
