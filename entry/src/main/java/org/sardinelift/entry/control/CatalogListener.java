package org.sardinelift.entry.control;

import org.sardinelift.core.catalog.Catalog;

/** Hears of changes of the configuration, on the control thread. */
@FunctionalInterface
public interface CatalogListener {

    /**
     * Another configuration is in force.
     *
     * @param before the configuration until now
     * @param after the configuration from now on
     */
    void onCatalogChanged(Catalog before, Catalog after);
}
