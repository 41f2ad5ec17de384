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

/** What a member's files had at its start: the snapshot and the log entries after it, until MicroRaft has them. */
final class RestoredLog {
    private final SegmentHeader header;
    private TreeMap<Long, LogEntry> entries = new TreeMap<>();
    private SnapshotEntry snapshot;

    /** Starts empty; header records of the segments that are read go to {@code header}. */
    RestoredLog(SegmentHeader header) {
        this.header = header;
    }

    /** Reads the records of one flush; returns the highest index of an entry in them, at least the one given. */
    long readRecords(String segment, byte[] content, long highestIndexBefore) throws IOException {
        long highestIndex = highestIndexBefore;
        Cbor.Reader in = new Cbor.Reader(content);
        for (int count = in.count(Integer.MAX_VALUE); count > 0; count--) {
            int kind = in.count(RecordKind.MOST);
            switch (kind) {
                case RecordKind.ENTRY -> highestIndex = Math.max(highestIndex, readEntry(segment, in));
                case RecordKind.CUT_FROM -> entries.tailMap(in.number(), true).clear();
                case RecordKind.TERM -> header.readTerm(in);
                case RecordKind.FOUNDERS -> header.readInitialMembers(in);
                case RecordKind.SELF -> header.readLocalMember(in);
                case RecordKind.COMMITTED -> header.advanceCommitIndex(in.number());
                default -> throw new IOException(segment + ": a record of the unknown kind " + kind);
            }
        }
        return highestIndex;
    }

    private long readEntry(String segment, Cbor.Reader in) throws IOException {
        LogEntry entry = RaftCodec.entry(in);
        long index = entry.getIndex();
        if (!entries.isEmpty() && index <= entries.lastKey()) {
            throw new RecordFrames.CorruptException(segment + ": change " + index + " follows " + entries.lastKey());
        }
        if (!entries.isEmpty() && index > entries.lastKey() + 1) {
            // A snapshot must cover the gap; startFrom checks that.
            entries.clear();
        }
        entries.put(index, entry);
        return index;
    }

    /**
     * Takes the snapshot that was found and drops the entries in it.
     *
     * @throws IOException if entries after the snapshot are missing, or a damaged snapshot would be needed
     */
    void startFrom(SnapshotFiles.Found found) throws IOException {
        snapshot = found.newest();
        long snapshotIndex = snapshotIndex();
        if (entries.isEmpty()) {
            if (found.fault() != null) {
                throw found.fault();
            }
            return;
        }
        long firstIndex = entries.firstKey();
        if (firstIndex > snapshotIndex + 1) {
            throw found.fault() != null ? found.fault() : missing(snapshotIndex + 1, firstIndex - 1);
        }
        entries.headMap(snapshotIndex, true).clear();
    }

    private static RecordFrames.CorruptException missing(long firstIndex, long lastIndex) {
        return new RecordFrames.CorruptException(
                SegmentFiles.PREFIX + "*: changes " + firstIndex + " to " + lastIndex + " are missing");
    }

    /** What MicroRaft starts from, or null if this member has never run in a group. */
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

    /** The chunks of the snapshot that was found. */
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

    /** Index of the snapshot, 0 without one. */
    long snapshotIndex() {
        return snapshot == null ? 0 : snapshot.getIndex();
    }

    /** Index of the last entry. */
    long lastIndex() {
        return entries.isEmpty() ? snapshotIndex() : entries.lastKey();
    }

    /** Frees the memory, once MicroRaft has taken it over. */
    void release() {
        entries = new TreeMap<>();
        snapshot = null;
    }
}
