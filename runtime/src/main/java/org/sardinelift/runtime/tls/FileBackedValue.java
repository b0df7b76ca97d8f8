package org.sardinelift.runtime.tls;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import org.tinylog.Logger;

/**
 * A value loaded from files. Changed files are reloaded; while they can't be read, the value loaded
 * last stays in use. Thread-safe.
 */
final class FileBackedValue<T> {
    private final List<Path> files;
    private final Duration recheckInterval;
    private final Loader<T> loader;
    private T value;
    private List<String> fileVersions;
    private long lastCheckNanos;

    /** Loads the value from the files. */
    interface Loader<T> {
        T load() throws IOException;
    }

    private FileBackedValue(List<Path> files, Duration recheckInterval, Loader<T> loader)
            throws IOException {
        this.files = files;
        this.recheckInterval = recheckInterval;
        this.loader = loader;
        this.fileVersions = fileVersions();
        this.value = load();
        this.lastCheckNanos = System.nanoTime();
    }

    static <T> FileBackedValue<T> open(List<Path> files, Duration recheckInterval, Loader<T> loader)
            throws IOException {
        return new FileBackedValue<>(files, recheckInterval, loader);
    }

    synchronized T current() {
        long now = System.nanoTime();
        if (now - lastCheckNanos >= recheckInterval.toNanos()) {
            lastCheckNanos = now;
            reloadIfChanged();
        }
        return value;
    }

    private void reloadIfChanged() {
        try {
            List<String> currentVersions = fileVersions();
            if (!currentVersions.equals(fileVersions)) {
                value = load();
                fileVersions = currentVersions;
                Logger.info("Reloaded the changed certificate {}", files.get(0));
            }
        } catch (IOException e) {
            Logger.warn("{}; the certificates loaded before stay in use", e.getMessage());
        }
    }

    private List<String> fileVersions() {
        return files.stream().map(FileBackedValue::fileVersion).toList();
    }

    private static String fileVersion(Path file) {
        try {
            return Files.getLastModifiedTime(file) + " " + Files.size(file);
        } catch (IOException e) {
            return "absent";
        }
    }

    private T load() throws IOException {
        try {
            return loader.load();
        } catch (IOException | IllegalArgumentException e) {
            String names = files.stream().map(Path::toString).collect(Collectors.joining(", "));
            throw new IOException(
                    "TLS can't be set up from "
                            + names
                            + ": "
                            + e.getMessage()
                            + ". Check the paths and that the files hold PEM",
                    e);
        }
    }
}
