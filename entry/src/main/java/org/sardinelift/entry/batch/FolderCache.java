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
 * Size-limited disk cache of immutable objects, in a folder that may be deleted at any time. Each
 * file starts with the digest of the rest; a file that does not match is ignored and deleted.
 */
final class FolderCache {
    private static final String SUFFIX = ".object";
    private static final int DIGEST_CHARS = 64;

    private final Path folder;
    private final long maxBytes;
    private long cachedBytes = -1;

    FolderCache(Path folder, long maxBytes) {
        this.folder = folder;
        this.maxBytes = maxBytes;
    }

    /** Returns the cached object, or empty if there is none or its file is damaged. */
    synchronized Optional<StoredObject> find(ObjectKey key) {
        Path file = cacheFile(key);
        try {
            if (!Files.exists(file)) {
                return Optional.empty();
            }
            String text = Files.readString(file);
            String content = text.substring(Math.min(DIGEST_CHARS, text.length()));
            if (text.startsWith(Digests.sha256(content))) {
                return Optional.of(decode(key, content));
            }
            Logger.warn("Cached {} is damaged; reading it from the platform", key);
            Files.deleteIfExists(file);
        } catch (IOException e) {
            Logger.warn(
                    "Cached {} can't be read ({}); reading it from the platform",
                    key,
                    e.getMessage());
        }
        return Optional.empty();
    }

    /** Stores an object, best effort; deletes the oldest files when the limit is exceeded. */
    synchronized void put(StoredObject object) {
        String content = object.version() + " " + object.revision() + "\n" + object.value();
        byte[] encoded = (Digests.sha256(content) + content).getBytes(StandardCharsets.UTF_8);
        try {
            Files.createDirectories(folder);
            Path partFile = folder.resolve(cacheFile(object.key()).getFileName() + ".part");
            Files.write(partFile, encoded);
            Files.move(partFile, cacheFile(object.key()), StandardCopyOption.REPLACE_EXISTING);
            cachedBytes = cachedBytes < 0 ? Long.MAX_VALUE : cachedBytes + encoded.length;
            if (cachedBytes > maxBytes) {
                deleteOldest();
            }
        } catch (IOException e) {
            cachedBytes = -1;
            Logger.warn(
                    "{} can't be cached ({}); continuing without it", object.key(), e.getMessage());
        }
    }

    private void deleteOldest() throws IOException {
        List<Path> oldestFirst;
        try (Stream<Path> files = Files.list(folder)) {
            oldestFirst =
                    files.filter(file -> file.toString().endsWith(SUFFIX))
                            .sorted(Comparator.comparingLong(file -> file.toFile().lastModified()))
                            .toList();
        }
        cachedBytes = oldestFirst.stream().mapToLong(file -> file.toFile().length()).sum();
        for (Path file : oldestFirst) {
            if (cachedBytes <= maxBytes) {
                return;
            }
            cachedBytes -= file.toFile().length();
            Files.deleteIfExists(file);
        }
    }

    private static StoredObject decode(ObjectKey key, String content) {
        int end = content.indexOf('\n');
        String[] numbers = content.substring(0, end).split(" ");
        return new StoredObject(
                key,
                Long.parseLong(numbers[0]),
                Long.parseLong(numbers[1]),
                content.substring(end + 1));
    }

    private Path cacheFile(ObjectKey key) {
        return folder.resolve(Digests.sha256(key.kind() + "\n" + key.name()) + SUFFIX);
    }
}
