package lupinvalve.hotrestart;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** The folder that the two processes of an upgrade share: the system's, or a stand-in. */
public interface SharedDirectory {
    /** How long a file is, in bytes; throws NoSuchFileException where there is none. */
    long size(String name) throws IOException;

    byte[] read(String name) throws IOException;

    /** Writes a file; a process that ends meanwhile leaves a part of it. */
    void write(String name, byte[] content) throws IOException;

    /** Puts a file in the place of another or of none: readers see the one or the other. */
    void move(String name, String to) throws IOException;

    /** Waits until nobody else has the lock; it ends as it is closed, or with its process. */
    Closeable lock(String name) throws IOException;

    /** A folder of the system's. */
    static SharedDirectory atPath(Path folder) {
        return new SharedDirectory() {
            @Override
            public long size(String name) throws IOException {
                return Files.size(folder.resolve(name));
            }

            @Override
            public byte[] read(String name) throws IOException {
                return Files.readAllBytes(folder.resolve(name));
            }

            @Override
            public void write(String name, byte[] content) throws IOException {
                Files.write(folder.resolve(name), content);
            }

            @Override
            public void move(String name, String to) throws IOException {
                Files.move(
                        folder.resolve(name),
                        folder.resolve(to),
                        StandardCopyOption.ATOMIC_MOVE,
                        StandardCopyOption.REPLACE_EXISTING);
            }

            @Override
            public Closeable lock(String name) throws IOException {
                FileChannel channel =
                        FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                try {
                    channel.lock();
                } catch (IOException | RuntimeException e) {
                    channel.close();
                    throw e;
                }
                return channel;
            }
        };
    }
}
