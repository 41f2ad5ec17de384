package lupinvalve.replication;

import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import lupinvalve.statemachine.Cbor;

/** The snapshots in a member's folder, each in a file of its own, with the one that is being written. */
final class SnapshotFiles {
    /** Prefix of the snapshots' file names; the snapshot's log index follows. */
    static final String PREFIX = "snapshot-";

    private final Disk disk;
    private final TreeMap<Long, Long> sizeBytesByIndex = new TreeMap<>();
    private Disk.AppendFile current;
    private long currentIndex;
    /** The numbers of the chunks that were added to the current snapshot. */
    private final Set<Integer> currentChunks = new TreeSet<>();

    private boolean currentComplete;
    private boolean unforced;

    /**
     * The result of {@link #load}.
     *
     * @param newest the newest complete snapshot, or null
     * @param fault why a snapshot that should be complete could not be read, or null
     */
    record LoadResult(SnapshotEntry newest, IOException fault) {}

    SnapshotFiles(Disk disk) {
        this.disk = disk;
    }

    /**
     * Loads the newest complete snapshot among a folder's files.
     *
     * @param names the names of all files in the folder, sorted
     * @param repair whether to delete the files of older snapshots
     */
    LoadResult load(List<String> names, boolean repair) throws IOException {
        List<String> files = new ArrayList<>(
                names.stream().filter(name -> name.startsWith(PREFIX)).toList());
        Collections.reverse(files);
        SnapshotEntry newest = null;
        IOException fault = null;
        for (String name : files) {
            long index = NumberedFileName.number(name, PREFIX);
            if (newest != null) {
                if (repair) {
                    disk.delete(name);
                }
                continue;
            }
            byte[] file = disk.read(name);
            try {
                newest = read(name, file);
            } catch (IOException e) {
                fault = e;
            }
            if (newest != null && newest.getIndex() == index) {
                sizeBytesByIndex.put(index, (long) file.length);
            }
        }
        return new LoadResult(newest, fault);
    }

    /** Reads a snapshot with all its chunks; returns null if its writing or its transfer was interrupted. */
    private static SnapshotEntry read(String name, byte[] file) throws IOException {
        List<byte[]> contents = new ArrayList<>();
        RecordFrames.read(name, file, true, contents);
        TreeMap<Integer, SnapshotChunk> chunks = new TreeMap<>();
        for (byte[] content : contents) {
            SnapshotChunk chunk = RaftCodec.chunk(new Cbor.Reader(content));
            chunks.put(chunk.getSnapshotChunkIndex(), chunk);
        }
        if (chunks.isEmpty() || chunks.size() < chunks.firstEntry().getValue().getSnapshotChunkCount()) {
            return null;
        }
        SnapshotChunk first = chunks.firstEntry().getValue();
        return RaftCodec.FACTORY
                .createSnapshotEntryBuilder()
                .setIndex(first.getIndex())
                .setTerm(first.getTerm())
                .setSnapshotChunks(new ArrayList<>(chunks.values()))
                .setGroupMembersView(first.getGroupMembersView())
                .build();
    }

    /** Writes a chunk; starts a new file if the chunk belongs to another snapshot than the one before. */
    void add(SnapshotChunk chunk) throws IOException {
        if (current == null || currentIndex != chunk.getIndex()) {
            startFile(chunk.getIndex());
        }
        byte[] frame =
                RecordFrames.frame(RaftCodec.chunk(new Cbor.Writer(), chunk).toByteArray());
        current.write(frame);
        sizeBytesByIndex.merge(currentIndex, (long) frame.length, Long::sum);
        unforced = true;
        currentChunks.add(chunk.getSnapshotChunkIndex());
        currentComplete = currentChunks.size() == chunk.getSnapshotChunkCount();
    }

    private void startFile(long index) throws IOException {
        if (current != null) {
            current.close();
        }
        currentIndex = index;
        sizeBytesByIndex.put(index, 0L);
        currentChunks.clear();
        current = disk.create(NumberedFileName.of(PREFIX, index));
    }

    /** Deletes a snapshot, even one that is being written. */
    void delete(long index) throws IOException {
        if (index == currentIndex && current != null) {
            current.close();
            current = null;
        }
        if (sizeBytesByIndex.remove(index) != null) {
            disk.delete(NumberedFileName.of(PREFIX, index));
        }
    }

    /** Whether there are written chunks that are not durable yet. */
    boolean hasUnforced() {
        return unforced;
    }

    /** Returns once all written chunks are durable. */
    void force() throws IOException {
        current.force();
        unforced = false;
    }

    /** Deletes the snapshots before the current one if that is complete, as MicroRaft deletes only interrupted ones. */
    void deleteOlder() throws IOException {
        while (currentComplete && sizeBytesByIndex.firstKey() < currentIndex) {
            long oldestIndex = sizeBytesByIndex.pollFirstEntry().getKey();
            disk.delete(NumberedFileName.of(PREFIX, oldestIndex));
        }
    }

    /** The size of the newest snapshot in bytes, 0 without one. */
    long newestBytes() {
        return sizeBytesByIndex.isEmpty() ? 0 : sizeBytesByIndex.lastEntry().getValue();
    }

    /** Closes the file that is being written. */
    void close() throws IOException {
        if (current != null) {
            current.close();
        }
    }
}
