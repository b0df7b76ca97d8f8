package org.sardinelift.entry.control;

import org.sardinelift.core.catalog.Catalog;

/** Receives configuration changes, on the control thread. */
@FunctionalInterface
public interface CatalogListener {

    /**
     * Called when another configuration has come into force.
     *
     * @param before the previous configuration
     * @param after the configuration now in force
     */
    void onCatalogChanged(Catalog before, Catalog after);
}
