package lupinvalve.replication;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinvalve.statemachine.Cbor;

/**
 * The snapshot and the log entries after it, as read from a member's files at its start, until MicroRaft has taken them
 * over.
 */
final class RestoredLog {
    private final SegmentHeader header;
    private TreeMap<Long, LogEntry> entries = new TreeMap<>();
    private SnapshotEntry snapshot;

    /** Creates an empty log; {@code header} receives the header records of the segments that are read. */
    RestoredLog(SegmentHeader header) {
        this.header = header;
    }

    /** Reads the records of one flush; returns the highest entry index in them, at least {@code highestIndexBefore}. */
    long readRecords(String segment, byte[] content, long highestIndexBefore) throws IOException {
        long highestIndex = highestIndexBefore;
        Cbor.Reader in = new Cbor.Reader(content);
        for (int count = in.count(Integer.MAX_VALUE); count > 0; count--) {
            int kind = in.count(RecordKind.MAX_NUMBER);
            switch (kind) {
                case RecordKind.ENTRY -> highestIndex = Math.max(highestIndex, readEntry(segment, in));
                case RecordKind.TRUNCATE_FROM -> entries.tailMap(in.number(), true)
                        .clear();
                case RecordKind.TERM -> header.readTerm(in);
                case RecordKind.INITIAL_MEMBERS -> header.readInitialMembers(in);
                case RecordKind.LOCAL_MEMBER -> header.readLocalMember(in);
                case RecordKind.COMMIT_INDEX -> header.advanceCommitIndex(in.number());
                default -> throw new IOException(segment + ": unknown record kind " + kind);
            }
        }
        return highestIndex;
    }

    private long readEntry(String segment, Cbor.Reader in) throws IOException {
        LogEntry entry = RaftCodec.entry(in);
        long index = entry.getIndex();
        if (!entries.isEmpty() && index <= entries.lastKey()) {
            throw new RecordFrames.CorruptException(
                    segment + ": log index " + index + " follows " + entries.lastKey() + "; indexes must increase");
        }
        if (!entries.isEmpty() && index > entries.lastKey() + 1) {
            // A snapshot must cover the gap; startFrom verifies that.
            entries.clear();
        }
        entries.put(index, entry);
        return index;
    }

    /**
     * Takes over the loaded snapshot and drops the entries that it covers.
     *
     * @throws IOException if entries after the snapshot are missing, or a snapshot that is needed is damaged
     */
    void startFrom(SnapshotFiles.LoadResult loaded) throws IOException {
        snapshot = loaded.newest();
        long snapshotIndex = snapshotIndex();
        if (entries.isEmpty()) {
            if (loaded.fault() != null) {
                throw loaded.fault();
            }
            return;
        }
        long firstIndex = entries.firstKey();
        if (firstIndex > snapshotIndex + 1) {
            throw loaded.fault() != null ? loaded.fault() : missingEntries(snapshotIndex + 1, firstIndex - 1);
        }
        entries.headMap(snapshotIndex, true).clear();
    }

    private static RecordFrames.CorruptException missingEntries(long firstIndex, long lastIndex) {
        return new RecordFrames.CorruptException(
                SegmentFiles.PREFIX + "*: changes " + firstIndex + " to " + lastIndex + " are missing");
    }

    /** The state that MicroRaft starts from, or null if this member has never run in a Raft group. */
    RestoredRaftState toRaftState() {
        if (header.localMember() == null || header.initialMembers() == null) {
            return null;
        }
        return new RestoredRaftState(
                header.localMember(),
                header.initialMembers(),
                header.termOrInitial(),
                snapshot,
                new ArrayList<>(entries.values()));
    }

    /** The chunks of the snapshot; empty without one. */
    List<byte[]> snapshotChunks() {
        List<byte[]> chunks = new ArrayList<>();
        if (snapshot != null) {
            for (Object chunk : (List<?>) snapshot.getOperation()) {
                chunks.add((byte[]) ((SnapshotChunk) chunk).getOperation());
            }
        }
        return chunks;
    }

    /** The entries after the snapshot that are known to be committed, by index. */
    Map<Long, LogEntry> committedEntries() {
        return new TreeMap<>(entries.headMap(header.commitIndex(), true));
    }

    /** The log index of the snapshot, 0 without one. */
    long snapshotIndex() {
        return snapshot == null ? 0 : snapshot.getIndex();
    }

    /** The index of the last entry, or of the snapshot if there is no entry after it. */
    long lastIndex() {
        return entries.isEmpty() ? snapshotIndex() : entries.lastKey();
    }

    /** Releases the snapshot and the entries, once MicroRaft has taken them over. */
    void release() {
        entries = new TreeMap<>();
        snapshot = null;
    }
}
