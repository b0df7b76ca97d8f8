package org.sardinelift.server;

import java.nio.file.Path;
import org.sardinelift.runtime.log.LogEvent;
import org.sardinelift.settings.SettingsFile;
import org.sardinelift.settings.SettingsResult;
import sun.misc.Signal;

/**
 * Handler of SIGHUP, which signals that the settings file has changed. The file is only validated
 * and the result logged; it takes effect at the next start, since all settings that can change at
 * run time come from the store. Without a handler the signal would terminate the process.
 */
final class ReloadSignal {
    private ReloadSignal() {}

    static void install(Path file) {
        Signal.handle(new Signal("HUP"), signal -> check(file));
    }

    private static void check(Path file) {
        SettingsResult<ServerSettings> result = SettingsFile.load(file, ServerSettings::read);
        if (result instanceof SettingsResult.Invalid<ServerSettings> invalid) {
            LogEvent.of("settings.unsound")
                    .with("file", file.toString())
                    .with("first_error", invalid.errors().get(0).toString())
                    .error();
        } else {
            LogEvent.of("settings.checked").with("file", file.toString()).info();
        }
    }
}
