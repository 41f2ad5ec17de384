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
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import lupinvalve.log.Log;
import lupinvalve.statemachine.Cbor;
import lupinvalve.statemachine.ClusterBootstrap;
import lupinvalve.statemachine.MemberId;

/**
 * A member's persistent Raft state: the log in segments, each snapshot in a file of its own, and the member's identity.
 * Records are batched until a flush, which writes them with one fsync (group commit).
 *
 * <p>Each segment begins with a {@link SegmentHeader}, so that older segments can be deleted. After the first disk
 * fault every call fails, because it is unknown what is on the disk. On the group's thread.
 */
final class SegmentedLog implements RaftStore {
    private static final int DISK_ID_BYTES = 8;

    private final Disk disk;
    private final String cluster;
    private final SegmentFiles segments;
    private final SnapshotFiles snapshots;
    private final SegmentHeader header = new SegmentHeader();
    private final RestoredLog restored = new RestoredLog(header);
    private final RecordBatch batch = new RecordBatch();
    private ClusterBootstrap.Announcement announcement;
    /** Whether the next flush must write the commit index. */
    private boolean commitIndexChanged;

    private IOException failure;
    private Runnable onFailure = () -> {};

    private SegmentedLog(Disk disk, String cluster) {
        this.disk = disk;
        this.cluster = cluster;
        segments = new SegmentFiles(disk);
        snapshots = new SnapshotFiles(disk);
    }

    // ---- opening ----

    /** Returns a random id for a disk. */
    static String newDiskId() {
        byte[] random = new byte[DISK_ID_BYTES];
        new SecureRandom().nextBytes(random);
        return HexFormat.of().formatHex(random);
    }

    /**
     * Opens a member's folder; an empty one is initialized for this member, with {@code newDiskId} as its disk id.
     *
     * @throws IOException if the folder is damaged or belongs to another member
     */
    static SegmentedLog open(Disk disk, String cluster, String member, String newDiskId) throws IOException {
        SegmentedLog log = new SegmentedLog(disk, cluster);
        List<String> names = disk.names();
        if (names.contains(IdentityFile.NAME)) {
            log.announcement = IdentityFile.read(disk, cluster, member);
        } else if (names.stream().noneMatch(SegmentedLog::hasLogData)) {
            log.persistAnnouncement(new ClusterBootstrap.Announcement(
                    new MemberId(member, newDiskId), ClusterBootstrap.Phase.UNBOUND, Set.of()));
        } else {
            throw new RecordFrames.CorruptException(
                    IdentityFile.NAME + " is missing, but the folder has " + names.get(0));
        }
        log.load(names, true);
        log.startNextSegment();
        // The last run may have crashed between writing a snapshot and deleting the segments that it covers.
        log.truncateLogEntriesUntil(log.restored.snapshotIndex());
        return log;
    }

    private static boolean hasLogData(String file) {
        return file.startsWith(SegmentFiles.PREFIX) || file.startsWith(SnapshotFiles.PREFIX);
    }

    /**
     * Reopens a folder after a disk fault. Data that a failed fsync has left in the page cache can be read but may not
     * be durable, so every file is rewritten first.
     */
    static SegmentedLog reopenAfterFault(Disk disk, String cluster, String member) throws IOException {
        for (String file : disk.names()) {
            if (file.equals(IdentityFile.NAME) || hasLogData(file)) {
                disk.replace(file, disk.read(file));
            }
        }
        return open(disk, cluster, member, "");
    }

    /** Reads a stopped member's folder without changing it. */
    static SegmentedLog inspect(Disk disk) throws IOException {
        SegmentedLog log = new SegmentedLog(disk, null);
        List<String> names = disk.names();
        if (!names.contains(IdentityFile.NAME)) {
            throw new RecordFrames.CorruptException(IdentityFile.NAME + " is missing");
        }
        log.announcement = IdentityFile.read(disk, null, null);
        log.load(names, false);
        return log;
    }

    private void load(List<String> names, boolean repair) throws IOException {
        segments.load(names, repair, restored);
        restored.startFrom(snapshots.load(names, repair));
    }

    // ---- identity ----

    /** Makes an announcement durable; to be called before it is sent to other members. */
    void persistAnnouncement(ClusterBootstrap.Announcement next) throws IOException {
        checkNotFailed();
        try {
            IdentityFile.write(disk, cluster, next);
        } catch (IOException e) {
            throw recordFailure(e);
        }
        announcement = next;
    }

    /** The member's identity and its phase of the Raft group's bootstrap. */
    ClusterBootstrap.Announcement announcement() {
        return announcement;
    }

    // ---- restored state ----

    /** The state that MicroRaft starts from, or null if this member has never run in a Raft group. */
    RestoredRaftState restoredState() {
        return restored.toRaftState();
    }

    /** The chunks of the restored snapshot; empty without one. */
    List<byte[]> snapshotChunks() {
        return restored.snapshotChunks();
    }

    /** The restored entries after the snapshot that were known to be committed, by index. */
    Map<Long, LogEntry> committedEntries() {
        return restored.committedEntries();
    }

    /** The index of the last restored entry, or of the snapshot if there is no entry after it. */
    long lastIndex() {
        return restored.lastIndex();
    }

    /** The current term, 0 before the first one. */
    int currentTerm() {
        return header.currentTerm();
    }

    /** Releases the restored snapshot and entries, once MicroRaft has taken them over. */
    void releaseRestored() {
        restored.release();
    }

    // ---- faults ----

    /** Sets the action to run at the first disk fault. */
    void onFailure(Runnable action) {
        onFailure = action;
    }

    boolean hasFailed() {
        return failure != null;
    }

    private void checkNotFailed() throws IOException {
        if (failure != null) {
            throw failure;
        }
    }

    private IOException recordFailure(IOException fault) {
        if (failure == null) {
            failure = fault;
            Log.error(
                    "store: disk fault: %s; this member acknowledges nothing more until its folder is reopened",
                    fault.getMessage());
            onFailure.run();
        }
        return fault;
    }

    // ---- records ----

    private void add(Consumer<Cbor.Writer> record) throws IOException {
        checkNotFailed();
        batch.add(record);
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        header.setLocalMember(state);
        add(header::writeLocalMember);
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        header.setInitialMembers(members);
        add(header::writeInitialMembers);
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        header.setTerm(state);
        add(header::writeTerm);
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        for (LogEntry entry : entries) {
            add(out -> RaftCodec.entry(out.number(RecordKind.ENTRY), entry));
            segments.onEntryAdded(entry.getIndex());
        }
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        add(out -> out.number(RecordKind.TRUNCATE_FROM).number(index));
    }

    /** Records that a majority has committed the log up to an index; durable with the next flush. */
    void advanceCommitIndex(long index) throws IOException {
        checkNotFailed();
        commitIndexChanged |= header.advanceCommitIndex(index);
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        checkNotFailed();
        try {
            segments.deleteUpTo(index);
        } catch (IOException e) {
            throw recordFailure(e);
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        checkNotFailed();
        try {
            snapshots.add(chunk);
        } catch (IOException e) {
            throw recordFailure(e);
        }
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        checkNotFailed();
        try {
            snapshots.delete(index);
        } catch (IOException e) {
            throw recordFailure(e);
        }
    }

    @Override
    public void flush() throws IOException {
        checkNotFailed();
        try {
            if (snapshots.hasUnforced()) {
                snapshots.force();
                writeBatch();
                // The segments so far, with the entries that the snapshot covers, can then be deleted.
                startNextSegment();
                snapshots.deleteOlder();
            } else {
                writeBatch();
                if (segments.isFull()) {
                    startNextSegment();
                }
            }
        } catch (IOException e) {
            throw recordFailure(e);
        }
    }

    private void writeBatch() throws IOException {
        if (commitIndexChanged) {
            commitIndexChanged = false;
            add(header::writeCommitIndex);
        }
        if (!batch.isEmpty()) {
            segments.append(batch.frame());
            batch.clear();
        }
    }

    private void startNextSegment() throws IOException {
        segments.startNext();
        header.writeTo(batch::add);
        commitIndexChanged = header.commitIndex() > 0;
        writeBatch();
    }

    // ---- sizes and close ----

    /** The size of all segments, in bytes. */
    long logBytes() {
        return segments.totalBytes();
    }

    /** The size of the newest snapshot, in bytes. */
    long snapshotBytes() {
        return snapshots.newestBytes();
    }

    /**
     * Writes pending records and closes the files.
     *
     * @param closeDisk whether to close the disk as well; false if another log continues to use it
     */
    void close(boolean closeDisk) {
        try {
            if (failure == null) {
                writeBatch();
            }
            segments.close();
            snapshots.close();
            if (closeDisk) {
                disk.close();
            }
        } catch (IOException e) {
            Log.warn("store: flushing and closing the log failed: %s", e.getMessage());
        }
    }
}
