package org.sardinelift.core.resume;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.sardinelift.core.plan.SoftwareVersion;

/**
 * The record of software versions in the store, without times: clocks of instances differ.
 *
 * @param states state of each version that may have begun streams
 */
public record VersionRecord(Map<SoftwareVersion, State> states) {
    /** A record without versions. */
    public static final VersionRecord EMPTY = new VersionRecord(Map.of());

    /** State of a version. */
    public enum State {
        /**
         * The service was not recorded before, though the deployment had run: streams may have
         * begun at versions that are not recorded.
         */
        UNPROVED,
        /** Some instances may not have listed it yet. */
        NEW,
        /** All instances with a current list have listed it. */
        IN_USE,
        /** No target has it any more; to be removed if none has it for a while. */
        UNUSED;

        /**
         * Returns the name in the store.
         *
         * @return the name in lower case
         */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }

        /**
         * Finds the state with a name.
         *
         * @param label the name in lower case
         * @return the state, or empty if there is none of that name
         */
        public static Optional<State> fromLabel(String label) {
            return Stream.of(values()).filter(state -> state.label().equals(label)).findFirst();
        }
    }

    /** Copies the states. */
    public VersionRecord {
        states = Map.copyOf(states);
    }

    /**
     * The recorded versions of a service.
     *
     * @param service the service
     * @return its versions, in any state
     */
    public Set<SoftwareVersion> versionsOf(String service) {
        return states.keySet().stream()
                .filter(version -> version.service().equals(service))
                .collect(Collectors.toSet());
    }

    /**
     * Whether a version is recorded and not marked as unused.
     *
     * @param version the version
     * @return whether streams may begin at it
     */
    public boolean isUsable(SoftwareVersion version) {
        State state = states.get(version);
        return state != null && state != State.UNUSED;
    }
}
