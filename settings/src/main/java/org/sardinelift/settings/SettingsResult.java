package org.sardinelift.settings;

import java.util.List;

/** Outcome of reading settings. */
public sealed interface SettingsResult<T> {

    /**
     * The settings are valid.
     *
     * @param settings the settings
     */
    record Valid<T>(T settings) implements SettingsResult<T> {}

    /**
     * The settings are invalid; no process may start with them.
     *
     * @param errors every error found
     */
    record Invalid<T>(List<SettingsError> errors) implements SettingsResult<T> {}
}
