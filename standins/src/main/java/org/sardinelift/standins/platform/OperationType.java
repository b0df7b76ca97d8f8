package org.sardinelift.standins.platform;

/** Operations of the platform's API. */
enum OperationType {
    READ("read", false),
    WRITE("write", true),
    DELETE("delete", true),
    LIST("list", false),
    WATCH("watch", false),
    INSTANCES("instances", false),
    UNKNOWN("unknown", false);

    private final String label;
    private final boolean isChange;

    OperationType(String label, boolean isChange) {
        this.label = label;
        this.isChange = isChange;
    }

    String label() {
        return label;
    }

    boolean isChange() {
        return isChange;
    }
}
