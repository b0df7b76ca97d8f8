package org.sardinelift.settings;

import java.util.List;

/** Outcome of reading settings. */
public sealed interface SettingsResult<T> {

    /**
     * The settings are sound.
     *
     * @param settings the settings
     */
    record Valid<T>(T settings) implements SettingsResult<T> {}

    /**
     * The settings are not sound; nothing may be started with them.
     *
     * @param errors everything that is wrong
     */
    record Invalid<T>(List<SettingsError> errors) implements SettingsResult<T> {}
}
