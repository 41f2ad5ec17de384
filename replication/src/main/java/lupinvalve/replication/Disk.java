package lupinvalve.replication;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * A folder of files: the file system's, or a simulated one that loses what was not forced. One thread at a time uses
 * it.
 */
public interface Disk extends Closeable {
    /** A file that is being appended to. */
    interface AppendFile extends Closeable {
        /** Appends bytes, which are durable only after {@link #force}. */
        void write(byte[] bytes) throws IOException;

        /** Returns once all that was written is durable: it survives a loss of power. */
        void force() throws IOException;
    }

    /** Names of all files of this program, sorted. */
    List<String> names() throws IOException;

    /** The content of a file. */
    byte[] read(String name) throws IOException;

    /** Creates a file, or empties it if it is there; it is durable once it was forced. */
    AppendFile create(String name) throws IOException;

    /** Replaces a file atomically and durably: after a crash it has the old content or the new one. */
    void replace(String name, byte[] content) throws IOException;

    /** Truncates a file durably. */
    void truncate(String name, long sizeBytes) throws IOException;

    /** Deletes a file if it is there. */
    void delete(String name) throws IOException;

    @Override
    void close() throws IOException;
}
