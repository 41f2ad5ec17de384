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
import java.util.stream.Stream;

/**
 * A folder of the system's, for one process at a time; what is in it is for its owner alone, since it holds secrets.
 */
public final class FolderDisk implements Disk {
    private static final String LOCK = "lock", BESIDE = ".new", NAMES = "identity|followed|(history|snapshot|audit)-.*";
    private final Path folder;
    private final FileChannel lockFile;
    private final FileLock lock;

    /** @param writes whether files are to be changed: then nobody else may have the folder open */
    public FolderDisk(Path folder, boolean writes) throws IOException {
        this.folder = folder;
        if (!writes) {
            lockFile = null;
            lock = null;
            return;
        }
        Files.createDirectories(folder, owner("rwx------", folder));
        lockFile = FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock got = null;
        try {
            got = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            // Held by this very process.
        }
        if (got == null) {
            lockFile.close();
            throw new IOException(folder + ": in use by another process");
        }
        lock = got;
    }

    private static FileAttribute<?>[] owner(String rights, Path where) {
        return where.getFileSystem().supportedFileAttributeViews().contains("posix")
                ? new FileAttribute<?>[] {PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString(rights))}
                : new FileAttribute<?>[0];
    }

    @Override
    public List<String> names() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString())
                    .filter(name -> name.matches(NAMES))
                    .sorted()
                    .toList();
        }
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(folder.resolve(name));
    }

    private FileChannel make(Path file) throws IOException {
        Files.deleteIfExists(file);
        Files.createFile(file, owner("rw-------", file));
        return FileChannel.open(file, StandardOpenOption.WRITE);
    }

    @Override
    public Out create(String name) throws IOException {
        FileChannel channel = make(folder.resolve(name));
        forceFolder();
        return new Out() {
            @Override
            public void write(byte[] bytes) throws IOException {
                ByteBuffer rest = ByteBuffer.wrap(bytes);
                while (rest.hasRemaining()) {
                    channel.write(rest);
                }
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
        Path beside = folder.resolve(name + BESIDE);
        try (FileChannel channel = make(beside)) {
            ByteBuffer rest = ByteBuffer.wrap(content);
            while (rest.hasRemaining()) {
                channel.write(rest);
            }
            channel.force(true);
        }
        Files.move(beside, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        forceFolder();
    }

    @Override
    public void truncate(String name, long size) throws IOException {
        try (FileChannel channel = FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE)) {
            channel.truncate(size);
            channel.force(true);
        }
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
    }

    @Override
    public void close() throws IOException {
        if (lockFile != null) {
            lock.release();
            lockFile.close();
        }
    }
}
