package org.sardinelift.core.peer;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/** Role of an instance on the path of calls. */
public enum PeerRole {
    /** Receives requests of callers and sends them to targets. */
    GATEWAY,
    /** Stores and runs batch jobs. */
    WORKER;

    /**
     * Returns the name on the wire and in settings.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the role with a name.
     *
     * @param label the name in lower case
     * @return the role, or empty if there is none of that name
     */
    public static Optional<PeerRole> fromLabel(String label) {
        return Stream.of(values()).filter(role -> role.label().equals(label)).findFirst();
    }
}
