package org.sardinelift.entry.batch;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.StoredObject;
import org.tinylog.Logger;

/**
 * Bounded cache of objects that never change, in a folder that may vanish at any time. Each file
 * starts with the digest of the rest; a file that does not match is ignored and deleted.
 */
final class FolderCache {
    private static final String SUFFIX = ".object";
    private static final int DIGEST_CHARS = 64;

    private final Path folder;
    private final long maxBytes;
    private long bytes = -1;

    FolderCache(Path folder, long maxBytes) {
        this.folder = folder;
        this.maxBytes = maxBytes;
    }

    /** The object as it was kept, or empty where it was not or the file is damaged. */
    synchronized Optional<StoredObject> find(ObjectKey key) {
        Path file = file(key);
        try {
            if (!Files.exists(file)) {
                return Optional.empty();
            }
            String text = Files.readString(file);
            String content = text.substring(Math.min(DIGEST_CHARS, text.length()));
            if (text.startsWith(Digests.sha256(content))) {
                return Optional.of(object(key, content));
            }
            Logger.warn("Cached {} is damaged; it is read from the platform", key);
            Files.deleteIfExists(file);
        } catch (IOException e) {
            Logger.warn("Cached {} can't be read ({}); the platform is asked", key, e.getMessage());
        }
        return Optional.empty();
    }

    /** Keeps an object, best effort; the oldest files go where the bound is passed. */
    synchronized void put(StoredObject object) {
        String content = object.version() + " " + object.revision() + "\n" + object.value();
        byte[] encoded = (Digests.sha256(content) + content).getBytes(StandardCharsets.UTF_8);
        try {
            Files.createDirectories(folder);
            Path part = folder.resolve(file(object.key()).getFileName() + ".part");
            Files.write(part, encoded);
            Files.move(part, file(object.key()), StandardCopyOption.REPLACE_EXISTING);
            bytes = bytes < 0 ? Long.MAX_VALUE : bytes + encoded.length;
            if (bytes > maxBytes) {
                shrink();
            }
        } catch (IOException e) {
            bytes = -1;
            Logger.warn("{} can't be cached ({}); work goes on", object.key(), e.getMessage());
        }
    }

    private void shrink() throws IOException {
        List<Path> oldestFirst;
        try (Stream<Path> files = Files.list(folder)) {
            oldestFirst =
                    files.filter(file -> file.toString().endsWith(SUFFIX))
                            .sorted(Comparator.comparingLong(file -> file.toFile().lastModified()))
                            .toList();
        }
        bytes = oldestFirst.stream().mapToLong(file -> file.toFile().length()).sum();
        for (Path file : oldestFirst) {
            if (bytes <= maxBytes) {
                return;
            }
            bytes -= file.toFile().length();
            Files.deleteIfExists(file);
        }
    }

    private static StoredObject object(ObjectKey key, String content) {
        int end = content.indexOf('\n');
        String[] numbers = content.substring(0, end).split(" ");
        return new StoredObject(
                key,
                Long.parseLong(numbers[0]),
                Long.parseLong(numbers[1]),
                content.substring(end + 1));
    }

    private Path file(ObjectKey key) {
        return folder.resolve(Digests.sha256(key.kind() + "\n" + key.name()) + SUFFIX);
    }
}
