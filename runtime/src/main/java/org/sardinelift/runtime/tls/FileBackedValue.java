package org.sardinelift.runtime.tls;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import org.tinylog.Logger;

/**
 * A value made from files. Files that change are read again; while they can't be read, the value
 * made last stays in force. Safe for use by several threads.
 */
final class FileBackedValue<T> {
    private final List<Path> files;
    private final Duration recheck;
    private final Loader<T> loader;
    private T value;
    private List<String> stamps;
    private long checkedNanos;

    /** Makes the value from the files. */
    interface Loader<T> {
        T load() throws IOException;
    }

    private FileBackedValue(List<Path> files, Duration recheck, Loader<T> loader)
            throws IOException {
        this.files = files;
        this.recheck = recheck;
        this.loader = loader;
        this.stamps = stamps();
        this.value = load();
        this.checkedNanos = System.nanoTime();
    }

    static <T> FileBackedValue<T> open(List<Path> files, Duration recheck, Loader<T> loader)
            throws IOException {
        return new FileBackedValue<>(files, recheck, loader);
    }

    synchronized T current() {
        long now = System.nanoTime();
        if (now - checkedNanos >= recheck.toNanos()) {
            checkedNanos = now;
            reloadWhereChanged();
        }
        return value;
    }

    private void reloadWhereChanged() {
        try {
            List<String> found = stamps();
            if (!found.equals(stamps)) {
                value = load();
                stamps = found;
                Logger.info("The certificate {} was read again", files.get(0));
            }
        } catch (IOException e) {
            Logger.warn("{}; the certificates read before stay in force", e.getMessage());
        }
    }

    private List<String> stamps() {
        return files.stream().map(FileBackedValue::stamp).toList();
    }

    private static String stamp(Path file) {
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
