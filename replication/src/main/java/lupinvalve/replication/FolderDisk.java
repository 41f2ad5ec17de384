package lupinvalve.replication;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.FileAttribute;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A folder of the file system. One process at a time may open it for writing, which a file lock ensures. The folder and
 * its files are accessible to their owner only, because they contain secrets.
 */
public final class FolderDisk implements Disk {
    private static final String LOCK_FILE = "lock";
    private static final String TEMPORARY_SUFFIX = ".new";
    private static final Pattern FILE_NAME_PATTERN = Pattern.compile("identity|followed|(history|snapshot|audit)-.*");
    private static final String FOLDER_PERMISSIONS = "rwx------";
    private static final String FILE_PERMISSIONS = "rw-------";

    private final Path folder;
    /** Holds the file lock; null if the folder is open for reading only. */
    private final FileChannel lockChannel;

    /**
     * Opens a folder; for writing, creates it if it does not exist.
     *
     * @param writable whether files may be changed; the folder is then locked
     * @throws IOException if the folder is to be locked and another process holds the lock
     */
    public FolderDisk(Path folder, boolean writable) throws IOException {
        this.folder = folder;
        if (writable) {
            Files.createDirectories(folder, permissions(FOLDER_PERMISSIONS, folder));
            lockChannel = lock(folder);
        } else {
            lockChannel = null;
        }
    }

    private static FileChannel lock(Path folder) throws IOException {
        FileChannel channel =
                FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        boolean locked = false;
        try {
            locked = tryLock(channel);
        } finally {
            if (!locked) {
                channel.close();
            }
        }
        if (!locked) {
            throw new IOException(folder + ": in use by another process");
        }
        return channel;
    }

    /** Returns whether the lock was acquired; closing the channel releases it. */
    private static boolean tryLock(FileChannel channel) throws IOException {
        try {
            FileLock lock = channel.tryLock();
            return lock != null;
        } catch (OverlappingFileLockException e) {
            // This process itself has the folder open for writing.
            return false;
        }
    }

    private static FileAttribute<?>[] permissions(String permissions, Path path) {
        boolean posix = path.getFileSystem().supportedFileAttributeViews().contains("posix");
        return posix
                ? new FileAttribute<?>[] {
                    PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString(permissions))
                }
                : new FileAttribute<?>[0];
    }

    @Override
    public List<String> names() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString())
                    .filter(name -> FILE_NAME_PATTERN.matcher(name).matches())
                    .sorted()
                    .toList();
        }
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(folder.resolve(name));
    }

    private static FileChannel createChannel(Path file) throws IOException {
        Files.deleteIfExists(file);
        Files.createFile(file, permissions(FILE_PERMISSIONS, file));
        return FileChannel.open(file, StandardOpenOption.WRITE);
    }

    private static void writeFully(FileChannel channel, byte[] bytes) throws IOException {
        ByteBuffer remaining = ByteBuffer.wrap(bytes);
        while (remaining.hasRemaining()) {
            channel.write(remaining);
        }
    }

    @Override
    public AppendFile create(String name) throws IOException {
        FileChannel channel = createChannel(folder.resolve(name));
        forceFolder();
        return new AppendFile() {
            @Override
            public void write(byte[] bytes) throws IOException {
                writeFully(channel, bytes);
            }

            @Override
            public void force() throws IOException {
                channel.force(false);
            }

            @Override
            public void close() throws IOException {
                channel.close();
            }
        };
    }

    private void forceFolder() throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public void replace(String name, byte[] content) throws IOException {
        Path temporary = folder.resolve(name + TEMPORARY_SUFFIX);
        try (FileChannel channel = createChannel(temporary)) {
            writeFully(channel, content);
            channel.force(true);
        }
        Files.move(
                temporary, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        forceFolder();
    }

    @Override
    public void truncate(String name, long sizeBytes) throws IOException {
        try (FileChannel channel = FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE)) {
            channel.truncate(sizeBytes);
            channel.force(true);
        }
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
    }

    @Override
    public void close() throws IOException {
        if (lockChannel != null) {
            lockChannel.close();
        }
    }
}
