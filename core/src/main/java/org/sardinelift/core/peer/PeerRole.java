package org.sardinelift.core.peer;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/** What an instance of the serving path does. */
public enum PeerRole {
    /** Takes callers' requests and sends them to targets. */
    GATEWAY,
    /** Keeps and runs batch jobs. */
    WORKER;

    /**
     * The name on the wire and in settings.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Finds a role by its name.
     *
     * @param label the name in lower case
     * @return the role, or empty where there is none of that name
     */
    public static Optional<PeerRole> fromLabel(String label) {
        return Stream.of(values()).filter(role -> role.label().equals(label)).findFirst();
    }
}
