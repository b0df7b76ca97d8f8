package org.sardinelift.entry.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.testkit.FakeObjectStore;

/** Guards against serving damaged cache files, and against failing when the folder is gone. */
class FolderCacheTest {
    private static final ObjectKey CHUNK = new ObjectKey(JobHeader.CHUNK_KIND, "batch-1/d/0");
    private static final StoredObject OBJECT = new StoredObject(CHUNK, 1, 7, "a\nb");

    @TempDir private Path parent;

    private Path folder() {
        return parent.resolve("cache");
    }

    private FolderCache cache(long maxBytes) {
        return new FolderCache(folder(), maxBytes);
    }

    private static void damage(Path file) {
        try {
            Files.writeString(file, Files.readString(file).replace("a\nb", "a\nc"));
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private void eachFile(java.util.function.Consumer<Path> action) throws IOException {
        try (Stream<Path> files = Files.list(folder())) {
            files.toList().forEach(action);
        }
    }

    @Test
    void anObjectIsFoundAgainByAnotherIncarnation() {
        cache(1_000).put(OBJECT);
        assertEquals(Optional.of(OBJECT), cache(1_000).find(CHUNK));
    }

    @Test
    void aDamagedFileIsDetectedAndIgnored() throws IOException {
        cache(1_000).put(OBJECT);
        eachFile(FolderCacheTest::damage);
        assertEquals(Optional.empty(), cache(1_000).find(CHUNK));
    }

    @Test
    void theFolderStaysWithinItsBound() throws IOException {
        FolderCache cache = cache(1_000);
        for (int number = 0; number < 20; number++) {
            ObjectKey key = new ObjectKey(JobHeader.CHUNK_KIND, "batch-1/d/" + number);
            cache.put(new StoredObject(key, 1, 7, "x".repeat(100)));
        }
        long[] bytes = {0};
        eachFile(file -> bytes[0] += file.toFile().length());
        assertTrue(bytes[0] > 0 && bytes[0] <= 1_000, () -> bytes[0] + " bytes");
    }

    @Test
    void readsSucceedWithoutTheFolderAndAreServedFromItWhenThePlatformIsDown() throws IOException {
        FakeObjectStore platform = new FakeObjectStore();
        platform.write(CHUNK, ObjectStore.ABSENT_VERSION, "a\nb").join();
        CachedObjectStore store = new CachedObjectStore(platform, cache(1_000), Runnable::run);
        assertTrue(store.read(CHUNK).join() instanceof ReadResult.Found);
        platform.setDown(true);
        assertTrue(store.read(CHUNK).join() instanceof ReadResult.Found);
        platform.setDown(false);
        eachFile(file -> file.toFile().delete());
        Files.delete(folder());
        assertTrue(store.read(CHUNK).join() instanceof ReadResult.Found);
    }
}
