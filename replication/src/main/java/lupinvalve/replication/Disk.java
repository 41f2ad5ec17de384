package lupinvalve.replication;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * A folder of files: one in the file system, or a simulated one that loses unforced data in a simulated crash. Used by
 * one thread at a time.
 */
public interface Disk extends Closeable {
    /** A file open for appending. */
    interface AppendFile extends Closeable {
        /** Appends bytes; they are durable only after {@link #force}. */
        void write(byte[] bytes) throws IOException;

        /** Returns once all written bytes are durable, that is, survive a loss of power. */
        void force() throws IOException;
    }

    /** The names of this program's files in the folder, sorted. */
    List<String> names() throws IOException;

    /** Reads a file's whole content. */
    byte[] read(String name) throws IOException;

    /** Creates a file, or empties an existing one; it is durable after the first {@link AppendFile#force}. */
    AppendFile create(String name) throws IOException;

    /** Replaces a file atomically and durably: after a crash it has either the old content or the new one. */
    void replace(String name, byte[] content) throws IOException;

    /** Truncates a file durably. */
    void truncate(String name, long sizeBytes) throws IOException;

    /** Deletes a file if it exists. */
    void delete(String name) throws IOException;

    @Override
    void close() throws IOException;
}
