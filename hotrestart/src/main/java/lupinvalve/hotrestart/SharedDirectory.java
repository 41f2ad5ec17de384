package lupinvalve.hotrestart;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** The directory that the two processes of a hot restart share, or a substitute that injects faults. Methods block. */
public interface SharedDirectory {
    /** Size of a file in bytes; throws {@link NoSuchFileException} if it does not exist. */
    long size(String name) throws IOException;

    /** Content of a file; throws {@link NoSuchFileException} if it does not exist. */
    byte[] read(String name) throws IOException;

    /** Writes a file, not atomically: a process that is killed during the write leaves a truncated file. */
    void write(String name, byte[] content) throws IOException;

    /** Replaces {@code target}, or creates it, atomically: readers see the old file or the new one. */
    void move(String name, String target) throws IOException;

    /** Waits for the lock; closing the result, or the end of the process, releases it. */
    Closeable lock(String name) throws IOException;

    /** A shared directory in the file system. */
    static SharedDirectory atPath(Path directory) {
        return new FileSystemDirectory(directory);
    }

    /** A shared directory in the file system. */
    record FileSystemDirectory(Path directory) implements SharedDirectory {
        @Override
        public long size(String name) throws IOException {
            return Files.size(directory.resolve(name));
        }

        @Override
        public byte[] read(String name) throws IOException {
            return Files.readAllBytes(directory.resolve(name));
        }

        @Override
        public void write(String name, byte[] content) throws IOException {
            Files.write(directory.resolve(name), content);
        }

        @Override
        public void move(String name, String target) throws IOException {
            Files.move(
                    directory.resolve(name),
                    directory.resolve(target),
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        }

        @Override
        public Closeable lock(String name) throws IOException {
            FileChannel channel =
                    FileChannel.open(directory.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            try {
                channel.lock();
            } catch (IOException | RuntimeException e) {
                channel.close();
                throw e;
            }
            return channel;
        }
    }
}
