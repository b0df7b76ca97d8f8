package org.sardinelift.core.catalog;

import java.util.Arrays;
import java.util.Optional;

/** Kinds of configuration objects in the platform's object API. */
public enum ConfigKind {
    TEMPLATE("template"),
    TEAM("team"),
    KEY("key"),
    SERVICE("service");

    private final String label;

    ConfigKind(String label) {
        this.label = label;
    }

    /**
     * Returns the name of the kind in the platform's object API.
     *
     * @return lower-case name
     */
    public String label() {
        return label;
    }

    /**
     * Finds a kind by its name in the object API.
     *
     * @param label name of the kind
     * @return the kind, or empty if the name is no kind of configuration
     */
    public static Optional<ConfigKind> of(String label) {
        return Arrays.stream(values()).filter(kind -> kind.label.equals(label)).findFirst();
    }
}
