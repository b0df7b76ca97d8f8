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
import org.sardinelift.runtime.log.LogEvent;

/**
 * A folder on a small disk with one file for each job, written and synced by a thread of its own. A
 * file begins with the checksum of the rest, since a power loss may leave it incomplete.
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

    /** Reads the documents of all files; unreadable and incomplete ones are skipped. */
    List<String> load() {
        List<String> documents = new ArrayList<>();
        try {
            Files.createDirectories(folder);
            try (Stream<Path> files = Files.list(folder)) {
                files.filter(file -> file.toString().endsWith(SUFFIX))
                        .forEach(file -> load(file, documents));
            }
        } catch (IOException e) {
            LogEvent.of("spool.unreadable")
                    .with("folder", folder.toString())
                    .with("reason", e.toString())
                    .error();
        }
        return documents;
    }

    private static void load(Path file, List<String> documents) {
        try {
            String text = Files.readString(file);
            int lineEnd = text.indexOf('\n');
            String document = text.substring(lineEnd + 1);
            if (lineEnd < 1 || !text.substring(0, lineEnd).equals(checksum(document))) {
                LogEvent.of("spool.torn").with("file", file.getFileName().toString()).warn();
                return;
            }
            documents.add(document);
        } catch (IOException e) {
            LogEvent.of("spool.unreadable")
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

    /** Writes a job's file; completes with true once the file would survive a power loss. */
    CompletableFuture<Boolean> write(String job, String document) {
        byte[] bytes = (checksum(document) + "\n" + document).getBytes(StandardCharsets.UTF_8);
        return CompletableFuture.supplyAsync(() -> writeAndSync(job, bytes), writer);
    }

    private boolean writeAndSync(String job, byte[] bytes) {
        try (FileChannel file =
                FileChannel.open(
                        fileOf(job),
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
            LogEvent.of("spool.not_written").with("job", job).with("reason", e.toString()).error();
            return false;
        }
    }

    /** Encodes the job's name, since it comes from a caller and need not be a file name. */
    private Path fileOf(String job) {
        String name = java.util.HexFormat.of().formatHex(job.getBytes(StandardCharsets.UTF_8));
        return folder.resolve(name + SUFFIX);
    }

    /** Deletes a file. If it reappears after a power loss, its job is found in the store. */
    void delete(String job) {
        writer.execute(
                () -> {
                    try {
                        Files.deleteIfExists(fileOf(job));
                    } catch (IOException e) {
                        LogEvent.of("spool.not_deleted")
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
