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

/** What a member's files held at its start: the changes and the snapshot before them, until the library has them. */
final class StoredHistory {
    private final SegmentHead head;
    private TreeMap<Long, LogEntry> entries = new TreeMap<>();
    private SnapshotEntry snapshot;

    /** Starts empty; the heads of the segments that are read go to {@code head}. */
    StoredHistory(SegmentHead head) {
        this.head = head;
    }

    /** Reads the records of one flush; gives the highest index of an entry among them, at least the one given. */
    long readRecords(String segment, byte[] content, long highestBefore) throws IOException {
        long highest = highestBefore;
        Cbor.Reader in = new Cbor.Reader(content);
        for (int left = in.count(Integer.MAX_VALUE); left > 0; left--) {
            int kind = in.count(RecordKind.MOST);
            switch (kind) {
                case RecordKind.ENTRY -> highest = Math.max(highest, readEntry(segment, in));
                case RecordKind.CUT_FROM -> entries.tailMap(in.number(), true).clear();
                case RecordKind.TERM -> head.term = SegmentHead.readTerm(in);
                case RecordKind.FOUNDERS -> head.founders = RaftCodec.view(in);
                case RecordKind.SELF -> head.self = SegmentHead.readSelf(in);
                case RecordKind.COMMITTED -> head.committed = Math.max(head.committed, in.number());
                default -> throw new IOException(segment + ": a record of the unknown kind " + kind);
            }
        }
        return highest;
    }

    private long readEntry(String segment, Cbor.Reader in) throws IOException {
        LogEntry entry = RaftCodec.entry(in);
        if (!entries.isEmpty() && entry.getIndex() <= entries.lastKey()) {
            throw new RecordFrames.CorruptException(
                    segment + ": change " + entry.getIndex() + " follows " + entries.lastKey());
        } else if (!entries.isEmpty() && entry.getIndex() > entries.lastKey() + 1) {
            // A snapshot must cover the gap, which is looked at once all is read.
            entries.clear();
        }
        entries.put(entry.getIndex(), entry);
        return entry.getIndex();
    }

    /** Takes the snapshot that was found and drops the changes in it; fails where changes behind it are missing. */
    void startFrom(SnapshotFiles.Found found) throws IOException {
        snapshot = found.newest();
        long base = snapshotIndex();
        long first = entries.isEmpty() ? Long.MAX_VALUE : entries.firstKey();
        if (first != Long.MAX_VALUE && first > base + 1) {
            throw found.fault() != null
                    ? found.fault()
                    : new RecordFrames.CorruptException(
                            SegmentedLog.SEGMENT + "*: changes " + (base + 1) + " to " + (first - 1) + " are missing");
        } else if (found.fault() != null && entries.isEmpty()) {
            throw found.fault();
        }
        entries.headMap(base, true).clear();
    }

    /** What the library starts from, or null where this member has never run in a group. */
    RestoredRaftState restored() {
        if (head.self == null || head.founders == null) {
            return null;
        }
        return new RestoredRaftState(
                head.self, head.founders, head.termOrNone(), snapshot, new ArrayList<>(entries.values()));
    }

    /** The pieces of the snapshot that was found. */
    List<byte[]> snapshotPieces() {
        List<byte[]> pieces = new ArrayList<>();
        if (snapshot != null) {
            for (Object chunk : (List<?>) snapshot.getOperation()) {
                pieces.add((byte[]) ((SnapshotChunk) chunk).getOperation());
            }
        }
        return pieces;
    }

    /** The changes behind the snapshot that were known to be accepted. */
    Map<Long, LogEntry> accepted() {
        return new TreeMap<>(entries.headMap(head.committed, true));
    }

    /** Index of the snapshot, 0 without one. */
    long snapshotIndex() {
        return snapshot == null ? 0 : snapshot.getIndex();
    }

    /** Index of the last change. */
    long lastIndex() {
        return entries.isEmpty() ? snapshotIndex() : entries.lastKey();
    }

    /** The library has taken over what was read. */
    void forget() {
        entries = new TreeMap<>();
        snapshot = null;
    }
}
