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

/** The snapshots in a member's folder, each in a file of its own, and the one that is being written. */
final class SnapshotFiles {
    /** What the files' names begin with; the index of a snapshot follows. */
    static final String KIND = "snapshot-";

    private final Disk disk;
    /** The files' sizes by index. */
    private final TreeMap<Long, Long> sizes = new TreeMap<>();

    private Disk.Out out;
    private long index;
    /** Which pieces of the snapshot that is being written are there, and whether those are all. */
    private final Set<Integer> pieces = new TreeSet<>();

    private boolean whole;
    private boolean unforced;

    /** The newest whole snapshot or null, and why one that should be whole could not be read, or null. */
    record Found(SnapshotEntry newest, IOException fault) {}

    SnapshotFiles(Disk disk) {
        this.disk = disk;
    }

    /**
     * Finds the newest whole snapshot among a folder's files.
     *
     * @param mends whether files of older snapshots are deleted
     */
    Found load(List<String> names, boolean mends) throws IOException {
        List<String> files = new ArrayList<>(
                names.stream().filter(name -> name.startsWith(KIND)).toList());
        Collections.reverse(files);
        SnapshotEntry newest = null;
        IOException fault = null;
        for (String name : files) {
            long at = NumberedFile.number(name, KIND);
            if (newest != null) {
                if (mends) {
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
            if (newest != null && newest.getIndex() == at) {
                sizes.put(at, (long) file.length);
            }
        }
        return new Found(newest, fault);
    }

    /** A snapshot with all its pieces, or null where its writing or its transfer was broken off. */
    private static SnapshotEntry read(String name, byte[] file) throws IOException {
        List<byte[]> contents = new ArrayList<>();
        Frames.read(name, file, true, contents);
        TreeMap<Integer, SnapshotChunk> chunks = new TreeMap<>();
        for (byte[] content : contents) {
            SnapshotChunk chunk = Models.chunk(new Cbor.Reader(content));
            chunks.put(chunk.getSnapshotChunkIndex(), chunk);
        }
        if (chunks.isEmpty() || chunks.size() < chunks.firstEntry().getValue().getSnapshotChunkCount()) {
            return null;
        }
        SnapshotChunk any = chunks.firstEntry().getValue();
        return Models.FACTORY
                .createSnapshotEntryBuilder()
                .setIndex(any.getIndex())
                .setTerm(any.getTerm())
                .setSnapshotChunks(new ArrayList<>(chunks.values()))
                .setGroupMembersView(any.getGroupMembersView())
                .build();
    }

    /** Writes a piece of a snapshot, in a new file where it is of another than the last piece. */
    void add(SnapshotChunk chunk) throws IOException {
        if (out == null || index != chunk.getIndex()) {
            if (out != null) {
                out.close();
            }
            index = chunk.getIndex();
            sizes.put(index, 0L);
            pieces.clear();
            out = disk.create(NumberedFile.name(KIND, index));
        }
        byte[] frame = Frames.frame(Models.chunk(new Cbor.Writer(), chunk).toByteArray());
        out.write(frame);
        sizes.merge(index, (long) frame.length, Long::sum);
        unforced = true;
        pieces.add(chunk.getSnapshotChunkIndex());
        whole = pieces.size() == chunk.getSnapshotChunkCount();
    }

    /** Deletes a snapshot, also the one that is being written. */
    void delete(long at) throws IOException {
        if (at == index && out != null) {
            out.close();
            out = null;
        }
        if (sizes.remove(at) != null) {
            disk.delete(NumberedFile.name(KIND, at));
        }
    }

    /** Whether a piece was written that a loss of power could still take. */
    boolean unforced() {
        return unforced;
    }

    /** Returns once all pieces written will be there after a loss of power. */
    void force() throws IOException {
        out.force();
        unforced = false;
    }

    /** Once the last snapshot is whole, deletes those before it: the library asks for that of broken-off ones only. */
    void deleteOlder() throws IOException {
        while (whole && sizes.firstKey() < index) {
            disk.delete(NumberedFile.name(KIND, sizes.pollFirstEntry().getKey()));
        }
    }

    /** Bytes of the newest snapshot. */
    long newestBytes() {
        return sizes.isEmpty() ? 0 : sizes.lastEntry().getValue();
    }

    /** Lets go of the file that is being written. */
    void close() throws IOException {
        if (out != null) {
            out.close();
        }
    }
}
