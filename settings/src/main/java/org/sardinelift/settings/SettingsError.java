package org.sardinelift.settings;

/**
 * One error in a settings file.
 *
 * @param path path of the field, such as {@code /entry/port}
 * @param expected what was expected
 * @param found what was found
 * @param remedy how to correct it
 */
public record SettingsError(String path, String expected, String found, String remedy) {

    @Override
    public String toString() {
        return path + ": expected " + expected + ", found " + found + ". " + remedy;
    }
}
