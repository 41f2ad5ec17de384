package lupinvalve.hotrestart;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import lupinvalve.log.Log;
import lupinvalve.maintenance.SentIds;

/** Opens the ids of sent requests in a file that the two processes of a hot restart map into their memory. */
public final class SentIdsFile {
    private static final int FILE_BYTES = SentIds.WORDS_COUNT * Long.BYTES;

    private SentIdsFile() {}

    /** Words of a file that processes map; the mapping lasts as long as the process. */
    private static final class MappedWords implements SentIds.Words {
        private static final VarHandle WORD =
                MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());
        private final ByteBuffer memory;

        MappedWords(ByteBuffer memory) {
            this.memory = memory;
        }

        @Override
        public long get(int index) {
            return (long) WORD.getVolatile(memory, index * Long.BYTES);
        }

        @Override
        public boolean compareAndSet(int index, long expected, long replacement) {
            return WORD.compareAndSet(memory, index * Long.BYTES, expected, replacement);
        }
    }

    /**
     * Opens the ids; if the file cannot be used, they are those of this process alone. Blocks.
     *
     * @param stem path of the files that two processes share, without their suffixes
     */
    public static SentIds open(Path stem) {
        Path file = stem.resolveSibling(stem.getFileName() + ".ids");
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            allocate(channel);
            return new SentIds(new MappedWords(channel.map(FileChannel.MapMode.READ_WRITE, 0, FILE_BYTES)));
        } catch (IOException e) {
            Log.error("%s cannot be used, ids are not shared with another process: %s", file, e);
            return new SentIds();
        }
    }

    /** Writes the whole file where it is new: a page that has no place on the disk would fail when it is used. */
    private static void allocate(FileChannel channel) throws IOException {
        ByteBuffer missing = ByteBuffer.allocate((int) Math.max(0, FILE_BYTES - channel.size()));
        long position = channel.size();
        while (missing.hasRemaining()) {
            position += channel.write(missing, position);
        }
    }
}
