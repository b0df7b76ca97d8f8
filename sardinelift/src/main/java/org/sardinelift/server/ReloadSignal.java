package org.sardinelift.server;

import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;
import org.sardinelift.runtime.log.LogEvent;
import org.sardinelift.settings.SettingsFile;
import org.sardinelift.settings.SettingsResult;
import sun.misc.Signal;

/**
 * Handler of SIGHUP, which signals that the settings file has changed. The file is only validated
 * and the result logged; it takes effect at the next start, since all settings that can change at
 * run time come from the store. Without a handler the signal would terminate the process, so it is
 * installed before anything else. A signal during the start is ignored: the file is read after it.
 */
final class ReloadSignal {
    private static final AtomicReference<@Nullable Path> FILE_IN_USE = new AtomicReference<>();

    private ReloadSignal() {}

    /** Keeps the signal from terminating the process. */
    static void install() {
        Signal.handle(new Signal("HUP"), signal -> check(FILE_IN_USE.get()));
    }

    /**
     * Checks a settings file at each further signal.
     *
     * @param file the file that the running instance has read
     */
    static void setFileInUse(Path file) {
        FILE_IN_USE.set(file);
    }

    private static void check(@Nullable Path file) {
        if (file == null) {
            return;
        }
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
