package org.sardinelift.gateway.job;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Stream;
import java.util.zip.CRC32;
import org.sardinelift.runtime.log.Event;

/**
 * Files of jobs on a small disk, one for each, written and synced by a thread of its own. A file
 * begins with the checksum of the rest, since a power loss may tear it.
 */
final class SpoolFolder implements AutoCloseable {
    private static final String SUFFIX = ".job";

    private final Path folder;
    private final ExecutorService writer =
            Executors.newSingleThreadExecutor(
                    task -> {
                        Thread thread = new Thread(task, "spool");
                        thread.setDaemon(true);
                        return thread;
                    });

    private SpoolFolder(Path folder) {
        this.folder = folder;
    }

    static SpoolFolder open(Path folder) {
        return new SpoolFolder(folder);
    }

    /** The documents of the jobs that were kept before; files that can't be read are left out. */
    List<String> load() {
        List<String> documents = new ArrayList<>();
        try {
            Files.createDirectories(folder);
            try (Stream<Path> files = Files.list(folder)) {
                files.filter(file -> file.toString().endsWith(SUFFIX))
                        .forEach(file -> load(file, documents));
            }
        } catch (IOException e) {
            Event.of("spool.unreadable")
                    .with("folder", folder.toString())
                    .with("reason", e.toString())
                    .error();
        }
        return documents;
    }

    private static void load(Path file, List<String> documents) {
        try {
            String text = Files.readString(file);
            int line = text.indexOf('\n');
            String document = text.substring(line + 1);
            if (line < 1 || !text.substring(0, line).equals(checksum(document))) {
                Event.of("spool.torn").with("file", file.getFileName().toString()).warn();
                return;
            }
            documents.add(document);
        } catch (IOException e) {
            Event.of("spool.unreadable")
                    .with("file", file.getFileName().toString())
                    .with("reason", e.toString())
                    .error();
        }
    }

    private static String checksum(String document) {
        CRC32 crc = new CRC32();
        crc.update(document.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(crc.getValue());
    }

    /** Keeps a job; true once it would outlast a power loss. */
    CompletableFuture<Boolean> write(String job, String document) {
        byte[] bytes = (checksum(document) + "\n" + document).getBytes(StandardCharsets.UTF_8);
        return CompletableFuture.supplyAsync(() -> writeNow(job, bytes), writer);
    }

    private boolean writeNow(String job, byte[] bytes) {
        try (FileChannel file =
                FileChannel.open(
                        file(job),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            while (buffer.hasRemaining()) {
                file.write(buffer);
            }
            file.force(true);
            return true;
        } catch (IOException e) {
            Event.of("spool.not_written").with("job", job).with("reason", e.toString()).error();
            return false;
        }
    }

    /** Names of jobs come from callers and are no file names. */
    private Path file(String job) {
        String name = java.util.HexFormat.of().formatHex(job.getBytes(StandardCharsets.UTF_8));
        return folder.resolve(name + SUFFIX);
    }

    /** A name that comes back after a power loss does no harm: its job is found to be stored. */
    void delete(String job) {
        writer.execute(
                () -> {
                    try {
                        Files.deleteIfExists(file(job));
                    } catch (IOException e) {
                        Event.of("spool.not_deleted")
                                .with("job", job)
                                .with("reason", e.toString())
                                .warn();
                    }
                });
    }

    @Override
    public void close() {
        writer.shutdown();
    }
}
