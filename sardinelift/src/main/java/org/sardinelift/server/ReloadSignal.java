package org.sardinelift.server;

import java.nio.file.Path;
import org.sardinelift.runtime.log.Event;
import org.sardinelift.settings.SettingsFile;
import org.sardinelift.settings.SettingsResult;
import sun.misc.Signal;

/**
 * SIGHUP says that the settings file has changed. All that can change while an instance runs comes
 * from the store, so the file is checked and the outcome logged; what it says holds from the next
 * start. Without a handler the signal would end the process.
 */
final class ReloadSignal {
    private ReloadSignal() {}

    static void install(Path file) {
        Signal.handle(new Signal("HUP"), signal -> check(file));
    }

    private static void check(Path file) {
        SettingsResult<ServerSettings> result = SettingsFile.load(file, ServerSettings::read);
        if (result instanceof SettingsResult.Invalid<ServerSettings> unsound) {
            Event.of("settings.unsound")
                    .with("file", file.toString())
                    .with("first_error", unsound.errors().get(0).toString())
                    .error();
        } else {
            Event.of("settings.checked").with("file", file.toString()).info();
        }
    }
}
