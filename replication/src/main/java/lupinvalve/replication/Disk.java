package lupinvalve.replication;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/** A folder of files: the system's, or a stand-in that loses what was not forced. */
public interface Disk extends Closeable {
    /** A file that is being appended to. */
    interface Out extends Closeable {
        void write(byte[] bytes) throws IOException;

        /** Returns once all that was written will be there after a loss of power. */
        void force() throws IOException;
    }

    /** Names of all files, sorted. */
    List<String> names() throws IOException;

    byte[] read(String name) throws IOException;

    /** A new file, which will be there after a loss of power once it was forced. */
    Out create(String name) throws IOException;

    /** Puts a whole file in the place of another or of none, so that after a crash it is the old one or the new. */
    void replace(String name, byte[] content) throws IOException;

    /** Cuts a file, durably. */
    void truncate(String name, long size) throws IOException;

    void delete(String name) throws IOException;

    @Override
    void close() throws IOException;
}
