package org.sardinelift.core.order;

import java.util.Locale;

/** Action that an order asks of a target. */
public enum OrderAction {
    /** Load a version of a model or adapter, replacing the loaded one. */
    LOAD(true),
    /** Unload a model or adapter. */
    UNLOAD(false),
    /** Change the role. */
    ROLE(false);

    private final boolean usesWeightStore;

    OrderAction(boolean usesWeightStore) {
        this.usesWeightStore = usesWeightStore;
    }

    /**
     * Whether the action reads the weight store, whose rate is limited.
     *
     * @return true for a load
     */
    public boolean usesWeightStore() {
        return usesWeightStore;
    }

    /**
     * Returns the name of the action in frames and stored objects.
     *
     * @return lower-case name
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
