package lupinvalve.hotrestart;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** The directory that the two processes of a hot restart share, or a stand-in that injects faults. Blocking. */
public interface SharedDirectory {
    /** Size of a file in bytes; throws {@link NoSuchFileException} where there is none. */
    long size(String name) throws IOException;

    /** Content of a file; throws {@link NoSuchFileException} where there is none. */
    byte[] read(String name) throws IOException;

    /** Writes a file; a process that is killed meanwhile leaves a part of it. */
    void write(String name, byte[] content) throws IOException;

    /** Replaces {@code target}, or creates it, atomically: readers see the old file or the new one. */
    void move(String name, String target) throws IOException;

    /** Waits for the lock; it ends as it is closed, or with its process. */
    Closeable lock(String name) throws IOException;

    /** A directory of the file system. */
    static SharedDirectory atPath(Path directory) {
        return new FileSystemDirectory(directory);
    }

    /** A directory of the file system. */
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
