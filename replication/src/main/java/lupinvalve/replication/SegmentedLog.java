package lupinvalve.replication;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import lupinvalve.log.Log;
import lupinvalve.statemachine.Cbor;
import lupinvalve.statemachine.ClusterBootstrap;
import lupinvalve.statemachine.MemberId;

/**
 * A member's memory on disk: the history in segments, snapshots in files of their own, and whose folder it is. Changes
 * gather until a flush, which writes them as one record with one force: that is the group commit.
 *
 * <p>Each segment begins with what older ones said of term, vote and members, so that they can go whole. After the
 * first fault of the disk nothing is written any more and each call fails: what a disk that has failed once holds is
 * not known.
 */
final class SegmentedLog implements RaftStore {
    /** What the names of segments begin with; their number follows. */
    static final String SEGMENT = "history-";

    private static final int SEGMENT_MOST = 1 << 20;

    private final Disk disk;
    private final String cluster;
    private final SnapshotFiles snapshots;
    private final SegmentHead head = new SegmentHead();
    private final StoredHistory stored = new StoredHistory(head);
    private final RecordBatch batch = new RecordBatch();
    private final TreeMap<Long, ClosedSegment> closed = new TreeMap<>();
    private ClusterBootstrap.Announcement word;
    private Disk.Out segment;
    private long number;
    /** The highest index of an entry in the segment that is being written, and that segment's size. */
    private long highest;

    private long size;
    /** Bytes of all segments that are there. */
    private long historyBytes;
    /** Whether the head's accepted index is due to be written. */
    private boolean committedUnsaid;

    private IOException failure;
    private Runnable onFailure = () -> {};

    /** A segment that is not written to any more: the highest index of an entry in it, and its size. */
    private record ClosedSegment(long highest, long bytes) {}

    private SegmentedLog(Disk disk, String cluster) {
        this.disk = disk;
        this.cluster = cluster;
        snapshots = new SnapshotFiles(disk);
    }

    // ---- start ----

    /** A name that no other disk has. */
    static String diskName() {
        byte[] random = new byte[8];
        new SecureRandom().nextBytes(random);
        return HexFormat.of().formatHex(random);
    }

    /** Opens a member's folder; an empty one becomes this member's, with the disk name given. */
    static SegmentedLog open(Disk disk, String cluster, String name, String diskName) throws IOException {
        SegmentedLog log = new SegmentedLog(disk, cluster);
        List<String> names = disk.names();
        if (names.contains(IdentityFile.NAME)) {
            log.word = IdentityFile.read(disk, cluster, name);
        } else if (names.stream().noneMatch(SegmentedLog::holdsHistory)) {
            log.keep(new ClusterBootstrap.Announcement(
                    new MemberId(name, diskName), ClusterBootstrap.Phase.UNBOUND, Set.of()));
        } else {
            throw new RecordFrames.CorruptException(IdentityFile.NAME + " is missing beside " + names.get(0));
        }
        log.load(names, true);
        log.roll();
        // A crash may have come between a snapshot and the end of what it makes superfluous.
        log.truncateLogEntriesUntil(log.stored.snapshotIndex());
        return log;
    }

    private static boolean holdsHistory(String file) {
        return file.startsWith(SEGMENT) || file.startsWith(SnapshotFiles.KIND);
    }

    /**
     * Opens a folder again after its disk has failed. What a force that failed left in the system's memory may not be
     * on the disk and yet be read, so each file is put there anew first.
     */
    static SegmentedLog reopen(Disk disk, String cluster, String name) throws IOException {
        for (String file : disk.names()) {
            if (file.equals(IdentityFile.NAME) || holdsHistory(file)) {
                disk.replace(file, disk.read(file));
            }
        }
        return open(disk, cluster, name, "");
    }

    /** Reads a stopped member's folder without changing it; gives what it holds. */
    static SegmentedLog inspect(Disk disk) throws IOException {
        SegmentedLog log = new SegmentedLog(disk, null);
        List<String> names = disk.names();
        if (!names.contains(IdentityFile.NAME)) {
            throw new RecordFrames.CorruptException(IdentityFile.NAME + " is missing");
        }
        log.word = IdentityFile.read(disk, null, null);
        log.load(names, false);
        return log;
    }

    /** Keeps what this member says of itself, before it says so. */
    void keep(ClusterBootstrap.Announcement said) throws IOException {
        check();
        try {
            IdentityFile.write(disk, cluster, said);
        } catch (IOException e) {
            throw failed(e);
        }
        word = said;
    }

    /** What this member says of itself. */
    ClusterBootstrap.Announcement word() {
        return word;
    }

    private void load(List<String> names, boolean mends) throws IOException {
        List<String> segments =
                names.stream().filter(name -> name.startsWith(SEGMENT)).toList();
        for (int i = 0; i < segments.size(); i++) {
            loadSegment(segments.get(i), i == segments.size() - 1, mends);
        }
        stored.startFrom(snapshots.load(names, mends));
        for (ClosedSegment old : closed.values()) {
            historyBytes += old.bytes();
        }
    }

    private void loadSegment(String name, boolean last, boolean mends) throws IOException {
        byte[] file = disk.read(name);
        List<byte[]> contents = new ArrayList<>();
        long whole = RecordFrames.read(name, file, last, contents);
        if (whole < file.length) {
            Log.warn("store: %s: cut at byte %s, where a crash had torn what followed", name, whole);
            if (mends) {
                disk.truncate(name, whole);
            }
        }
        long highestRead = 0;
        for (byte[] content : contents) {
            highestRead = stored.readRecords(name, content, highestRead);
        }
        number = NumberedFile.number(name, SEGMENT);
        closed.put(number, new ClosedSegment(highestRead, whole));
    }

    /** What the library starts from, or null where this member has never run in a group. */
    RestoredRaftState restored() {
        return stored.restored();
    }

    /** The pieces of the snapshot that was found. */
    List<byte[]> snapshotPieces() {
        return stored.snapshotPieces();
    }

    /** The changes behind that snapshot that were known to be accepted. */
    Map<Long, LogEntry> accepted() {
        return stored.accepted();
    }

    /** Index of the last change that was found. */
    long lastIndex() {
        return stored.lastIndex();
    }

    /** The term, 0 before the first. */
    int termNumber() {
        return head.termNumber();
    }

    /** The library has taken over what was read. */
    void forget() {
        stored.forget();
    }

    // ---- while it runs ----

    /** What is to run once the disk has failed. */
    void onFailure(Runnable then) {
        onFailure = then;
    }

    /** Whether the disk has failed. */
    boolean hasFailed() {
        return failure != null;
    }

    private void check() throws IOException {
        if (failure != null) {
            throw failure;
        }
    }

    private IOException failed(IOException e) {
        if (failure == null) {
            failure = e;
            Log.error("store: the disk fails: %s; nothing more is acknowledged", e.getMessage());
            onFailure.run();
        }
        return e;
    }

    private void add(Consumer<Cbor.Writer> record) throws IOException {
        check();
        batch.add(record);
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        head.self = state;
        add(head::writeSelf);
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        head.founders = members;
        add(head::writeFounders);
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        head.term = state;
        add(head::writeTerm);
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> added) throws IOException {
        for (LogEntry entry : added) {
            add(out -> RaftCodec.entry(out.number(RecordKind.ENTRY), entry));
            highest = Math.max(highest, entry.getIndex());
        }
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        add(out -> out.number(RecordKind.CUT_FROM).number(index));
    }

    /** A majority has accepted all up to here; on disk with the next flush, so that a restart knows it by itself. */
    void accepted(long index) throws IOException {
        check();
        committedUnsaid |= index > head.committed;
        head.committed = Math.max(head.committed, index);
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        check();
        try {
            while (!closed.isEmpty() && closed.firstEntry().getValue().highest() <= index) {
                long first = closed.firstKey();
                historyBytes -= closed.remove(first).bytes();
                disk.delete(NumberedFile.name(SEGMENT, first));
            }
        } catch (IOException e) {
            throw failed(e);
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        check();
        try {
            snapshots.add(chunk);
        } catch (IOException e) {
            throw failed(e);
        }
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        check();
        try {
            snapshots.delete(index);
        } catch (IOException e) {
            throw failed(e);
        }
    }

    @Override
    public void flush() throws IOException {
        check();
        try {
            if (snapshots.unforced()) {
                snapshots.force();
                write();
                // What the snapshot makes superfluous is to lie in segments that can go whole.
                roll();
                snapshots.deleteOlder();
            } else {
                write();
                if (size > SEGMENT_MOST) {
                    roll();
                }
            }
        } catch (IOException e) {
            throw failed(e);
        }
    }

    private void write() throws IOException {
        if (committedUnsaid) {
            committedUnsaid = false;
            add(head::writeCommitted);
        }
        if (batch.isEmpty()) {
            return;
        }
        byte[] frame = batch.frame();
        segment.write(frame);
        segment.force();
        size += frame.length;
        historyBytes += frame.length;
        batch.clear();
    }

    /** Begins a new segment. */
    private void roll() throws IOException {
        if (segment != null) {
            segment.close();
            closed.put(number, new ClosedSegment(highest, size));
        }
        number++;
        highest = 0;
        size = 0;
        segment = disk.create(NumberedFile.name(SEGMENT, number));
        if (head.self != null) {
            add(head::writeSelf);
        }
        if (head.founders != null) {
            add(head::writeFounders);
        }
        if (head.term != null) {
            add(head::writeTerm);
        }
        committedUnsaid = head.committed > 0;
        write();
    }

    /** Bytes of all segments. */
    long historyBytes() {
        return historyBytes;
    }

    /** Bytes of the newest snapshot. */
    long snapshotBytes() {
        return snapshots.newestBytes();
    }

    /** Lets go of the files, and of the folder as well where nobody is to go on with it. */
    void close(boolean folder) {
        try {
            if (failure == null) {
                write();
            }
            if (segment != null) {
                segment.close();
            }
            snapshots.close();
            if (folder) {
                disk.close();
            }
        } catch (IOException e) {
            Log.warn("store: %s", e.getMessage());
        }
    }
}
