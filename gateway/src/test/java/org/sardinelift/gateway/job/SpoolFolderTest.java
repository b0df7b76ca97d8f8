package org.sardinelift.gateway.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against jobs that are missing after a restart, restored from files that a power loss left
 * incomplete, or reported as written though the disk can't be written.
 */
class SpoolFolderTest {
    @TempDir private Path disk;

    private List<Path> files() throws IOException {
        try (Stream<Path> files = Files.list(disk)) {
            return files.toList();
        }
    }

    private SpoolFolder open() {
        return SpoolFolder.open(disk);
    }

    @Test
    void aJobIsFoundAgainUntilItIsDeleted() {
        try (SpoolFolder folder = open()) {
            assertEquals(List.of(), folder.load());
            assertTrue(folder.write("a/../b", "one\ntwo").join());
            assertEquals(List.of("one\ntwo"), open().load());

            folder.delete("a/../b");
            Awaitility.await().until(() -> open().load().isEmpty());
        }
    }

    @Test
    void anIncompleteFileIsSkipped() throws IOException {
        try (SpoolFolder folder = open()) {
            folder.load();
            folder.write("whole", "a document").join();
            folder.write("torn", "another document").join();
        }
        for (Path file : files()) {
            String text = Files.readString(file);
            if (text.contains("another")) {
                Files.writeString(file, text.substring(0, text.length() - 3));
            }
        }
        Files.writeString(disk.resolve("empty.job"), "");

        assertEquals(List.of("a document"), open().load());
    }

    @Test
    void aWriteFailsWhereTheFolderIsAFile() throws IOException {
        Path file = disk.resolve("file");
        Files.writeString(file, "no folder");
        try (SpoolFolder folder = SpoolFolder.open(file)) {
            assertEquals(List.of(), folder.load());
            assertEquals(false, folder.write("a", "document").join());
        }
    }
}
