package lupinvalve.store;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.zip.CRC32;
import lupinvalve.core.Loop;
import lupinvalve.log.Log;

/** Keeps the store in one file, written whole beside it and renamed, so that a crash leaves the old or the new. */
public final class StoreFile {
    private static final long PAUSE = 200_000;
    private static final String END = "{\"crc\":";
    private final Loop loop;
    private final Store store;
    private final Path file;
    private final ExecutorService writer = Executors.newSingleThreadExecutor(work -> {
        Thread thread = new Thread(null, work, "store", 256 << 10);
        thread.setDaemon(true);
        return thread;
    });
    private boolean due;

    public StoreFile(Loop loop, Store store, Path folder) throws IOException {
        this.loop = loop;
        this.store = store;
        Files.createDirectories(folder);
        file = folder.resolve("store.jsonl");
    }

    /** Takes in what was kept and writes changes from now on; core thread, or before it runs. */
    public void open() throws IOException {
        if (Files.exists(file)) {
            byte[] bytes = Files.readAllBytes(file);
            List<Lines.Line> lines = lines(bytes);
            if (lines == null) {
                Path aside = file.resolveSibling("store.damaged");
                Files.move(file, aside, StandardCopyOption.REPLACE_EXISTING);
                Log.error("store file damaged: put aside as %s; the other replicas will tell what it held",
                        aside.getFileName());
            } else {
                lines.forEach(line -> store.merge(line.key(), line.value()));
                Log.info("store: %d entries read", lines.size());
            }
        }
        store.onChange((key, value) -> {
            if (!due) {
                due = true;
                loop.after(PAUSE, this::write);
            }
        });
    }

    /** The entries of a whole file, or null where it is not whole. */
    private static List<Lines.Line> lines(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.UTF_8);
        int end = text.lastIndexOf(END);
        if (end < 0) {
            return null;
        }
        CRC32 crc = new CRC32();
        crc.update(text.substring(0, end).getBytes(StandardCharsets.UTF_8));
        if (!text.substring(end).equals(END + crc.getValue() + "}\n")) {
            return null;
        }
        List<Lines.Line> lines = new ArrayList<>();
        try {
            for (String line : text.substring(0, end).split("\n")) {
                if (!line.isEmpty()) {
                    lines.add(Lines.read(line.getBytes(StandardCharsets.UTF_8)));
                }
            }
        } catch (IOException e) {
            return null;
        }
        return lines;
    }

    private void write() {
        due = false;
        Map<String, Value> all = store.all();
        writer.execute(() -> {
            try {
                write(all);
            } catch (IOException e) {
                Log.warn("store file: %s", e.getMessage());
            }
        });
    }

    private void write(Map<String, Value> all) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        all.forEach((key, value) -> bytes.writeBytes(Lines.entry(key, value)));
        CRC32 crc = new CRC32();
        crc.update(bytes.toByteArray());
        bytes.writeBytes((END + crc.getValue() + "}\n").getBytes(StandardCharsets.UTF_8));
        Path beside = file.resolveSibling("store.new");
        Files.deleteIfExists(beside);
        if (beside.getFileSystem().supportedFileAttributeViews().contains("posix")) {
            // The operator's document holds passwords: no other user may read it, not even for a moment.
            Files.createFile(beside, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        }
        Files.write(beside, bytes.toByteArray());
        try (FileChannel channel = FileChannel.open(beside, StandardOpenOption.WRITE)) {
            channel.force(true);
        }
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Writes what is held and waits for it; from any thread but the core's. */
    public void close() {
        loop.post(() -> {
            write();
            writer.shutdown();
        });
        try {
            writer.awaitTermination(2, java.util.concurrent.TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
