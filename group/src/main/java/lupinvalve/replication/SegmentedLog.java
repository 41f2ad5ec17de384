package lupinvalve.replication;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import lupinvalve.ledger.Cbor;
import lupinvalve.ledger.Founding;
import lupinvalve.ledger.Identity;
import lupinvalve.log.Log;

/**
 * A member's memory on disk: the history in segments, snapshots in files of their own, and whose folder it is. Changes
 * gather until a flush, which writes them as one record with one force: that is the group commit.
 *
 * <p>Each segment begins with what older ones said of term, vote and members, so that they can go whole. After the first
 * fault of the disk nothing is written any more and each call fails: what a disk that has failed once holds is not known.
 */
final class SegmentedLog implements RaftStore {
    private static final int FORMAT = 1;
    private static final String IDENTITY = "identity", SEGMENT = "history-", SNAPSHOT = "snapshot-";
    private static final int SEGMENT_MOST = 1 << 20;
    private static final int ENTRY = 1, CUT_FROM = 2, TERM = 3, FOUNDERS = 4, SELF = 5, COMMITTED = 6;

    private final Disk disk;
    private final String cluster;
    private Founding.Word word;
    /** Closed segments by number, with the highest index of an entry in each, and their sizes. */
    private final TreeMap<Long, long[]> closed = new TreeMap<>();
    private final TreeMap<Long, Long> snapshots = new TreeMap<>();
    private long number, highest, size, sinceSnapshot, committed;
    private Disk.Out segment, snapshot;
    private long snapshotIndex;
    /** Which pieces of the snapshot that is being written are there, and whether those are all. */
    private final Set<Integer> pieces = new TreeSet<>();
    private boolean snapshotWhole;
    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean snapshotUnforced;
    private IOException failure;
    private Runnable onFailure = () -> { };
    // What each segment begins with.
    private RaftEndpointPersistentState self;
    private RaftGroupMembersView founders;
    private RaftTermPersistentState term;
    // Until the library has taken it over.
    private SnapshotEntry restored;
    private TreeMap<Long, LogEntry> entries = new TreeMap<>();

    private SegmentedLog(Disk disk, String cluster) {
        this.disk = disk;
        this.cluster = cluster;
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
        if (names.contains(IDENTITY)) {
            log.identity(name);
        } else if (names.stream().noneMatch(file -> file.startsWith(SEGMENT) || file.startsWith(SNAPSHOT))) {
            log.keep(new Founding.Word(new Identity(name, diskName), Founding.Phase.ALONE, Set.of()));
        } else {
            throw new Frames.Damaged(IDENTITY + " is missing beside " + names.get(0));
        }
        log.load(names, true);
        log.roll();
        // A crash may have come between a snapshot and the end of what it makes superfluous.
        log.truncateLogEntriesUntil(log.restored == null ? 0 : log.restored.getIndex());
        return log;
    }

    /**
     * Opens a folder again after its disk has failed. What a force that failed left in the system's memory may not be on the
     * disk and yet be read, so each file is put there anew first.
     */
    static SegmentedLog reopen(Disk disk, String cluster, String name) throws IOException {
        for (String file : disk.names()) {
            if (file.equals(IDENTITY) || file.startsWith(SEGMENT) || file.startsWith(SNAPSHOT)) {
                disk.replace(file, disk.read(file));
            }
        }
        return open(disk, cluster, name, "");
    }

    /** Reads a stopped member's folder without changing it; gives what it holds. */
    static SegmentedLog inspect(Disk disk) throws IOException {
        SegmentedLog log = new SegmentedLog(disk, null);
        List<String> names = disk.names();
        if (!names.contains(IDENTITY)) {
            throw new Frames.Damaged(IDENTITY + " is missing");
        }
        log.identity(null);
        log.load(names, false);
        return log;
    }

    private void identity(String name) throws IOException {
        List<byte[]> contents = new ArrayList<>();
        Frames.read(IDENTITY, disk.read(IDENTITY), false, contents);
        if (contents.size() != 1) {
            throw new Frames.Damaged(IDENTITY + ": " + contents.size() + " records in place of one");
        }
        Cbor.In in = new Cbor.In(contents.get(0));
        long format = in.number();
        if (format != FORMAT) {
            throw new IOException(IDENTITY + ": format " + format + "; this program reads " + FORMAT);
        }
        String of = in.text();
        word = Founding.Word.read(in);
        if (cluster != null && !of.equals(cluster)) {
            throw new IOException(IDENTITY + ": of the cluster " + of + ", not of " + cluster);
        }
        if (name != null && !word.who().name().equals(name)) {
            throw new IOException(IDENTITY + ": of the member " + word.who().name() + ", not of " + name);
        }
    }

    /** Keeps what this member says of itself, before it says so. */
    void keep(Founding.Word said) throws IOException {
        check();
        Cbor.Out out = new Cbor.Out().number(FORMAT).text(cluster);
        said.write(out);
        try {
            disk.replace(IDENTITY, Frames.frame(out.done()));
        } catch (IOException e) {
            throw failed(e);
        }
        word = said;
    }

    Founding.Word word() {
        return word;
    }

    private void load(List<String> names, boolean mends) throws IOException {
        List<String> segments = names.stream().filter(name -> name.startsWith(SEGMENT)).toList();
        for (int i = 0; i < segments.size(); i++) {
            String name = segments.get(i);
            byte[] file = disk.read(name);
            List<byte[]> contents = new ArrayList<>();
            long whole = Frames.read(name, file, i == segments.size() - 1, contents);
            if (whole < file.length) {
                Log.warn("store: %s: cut at byte %s, where a crash had torn what followed", name, whole);
                if (mends) {
                    disk.truncate(name, whole);
                }
            }
            highest = 0;
            for (byte[] content : contents) {
                records(name, content);
            }
            number = number(name, SEGMENT);
            closed.put(number, new long[] {highest, whole});
        }
        List<String> files = new ArrayList<>(names.stream().filter(name -> name.startsWith(SNAPSHOT)).toList());
        java.util.Collections.reverse(files);
        long first = entries.isEmpty() ? Long.MAX_VALUE : entries.firstKey();
        IOException fault = null;
        for (String name : files) {
            long index = number(name, SNAPSHOT);
            if (restored != null) {
                if (mends) {
                    disk.delete(name);
                }
                continue;
            }
            byte[] file = disk.read(name);
            try {
                restored = snapshot(name, file);
            } catch (IOException e) {
                fault = e;
            }
            if (restored != null && restored.getIndex() == index) {
                snapshots.put(index, (long) file.length);
            }
        }
        long base = restored == null ? 0 : restored.getIndex();
        if (first != Long.MAX_VALUE && first > base + 1) {
            throw fault != null ? fault : new Frames.Damaged(SEGMENT + "*: changes " + (base + 1) + " to " + (first - 1)
                    + " are missing");
        } else if (fault != null && entries.isEmpty()) {
            throw fault;
        }
        entries.headMap(base, true).clear();
        for (long[] stat : closed.values()) {
            sinceSnapshot += stat[1];
        }
    }

    private static long number(String name, String kind) throws IOException {
        try {
            return Long.parseLong(name.substring(kind.length()));
        } catch (NumberFormatException e) {
            throw new Frames.Damaged(name + ": not a name of this program's");
        }
    }

    private void records(String name, byte[] content) throws IOException {
        Cbor.In in = new Cbor.In(content);
        for (int left = in.count(Integer.MAX_VALUE); left > 0; left--) {
            int kind = in.count(100);
            switch (kind) {
                case ENTRY -> {
                    LogEntry entry = Models.entry(in);
                    if (!entries.isEmpty() && entry.getIndex() <= entries.lastKey()) {
                        throw new Frames.Damaged(name + ": change " + entry.getIndex() + " follows "
                                + entries.lastKey());
                    } else if (!entries.isEmpty() && entry.getIndex() > entries.lastKey() + 1) {
                        // A snapshot must cover the gap, which is looked at once all is read.
                        entries.clear();
                    }
                    entries.put(entry.getIndex(), entry);
                    highest = Math.max(highest, entry.getIndex());
                }
                case CUT_FROM -> entries.tailMap(in.number(), true).clear();
                case TERM -> {
                    int at = (int) in.number();
                    List<io.microraft.RaftEndpoint> voted = Models.endpoints(in);
                    term = Models.FACTORY.createRaftTermPersistentStateBuilder().setTerm(at)
                            .setVotedFor(voted.isEmpty() ? null : voted.get(0)).build();
                }
                case FOUNDERS -> founders = Models.view(in);
                case SELF -> self = Models.FACTORY.createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(Models.endpoints(in).get(0)).setVoting(in.flag()).build();
                case COMMITTED -> committed = Math.max(committed, in.number());
                default -> throw new IOException(name + ": a record of the unknown kind " + kind);
            }
        }
    }

    /** A snapshot with all its pieces, or null where its writing or its transfer was broken off. */
    private SnapshotEntry snapshot(String name, byte[] file) throws IOException {
        List<byte[]> contents = new ArrayList<>();
        Frames.read(name, file, true, contents);
        TreeMap<Integer, SnapshotChunk> chunks = new TreeMap<>();
        for (byte[] content : contents) {
            SnapshotChunk chunk = Models.chunk(new Cbor.In(content));
            chunks.put(chunk.getSnapshotChunkIndex(), chunk);
        }
        if (chunks.isEmpty() || chunks.size() < chunks.firstEntry().getValue().getSnapshotChunkCount()) {
            return null;
        }
        SnapshotChunk any = chunks.firstEntry().getValue();
        return Models.FACTORY.createSnapshotEntryBuilder().setIndex(any.getIndex()).setTerm(any.getTerm())
                .setSnapshotChunks(new ArrayList<>(chunks.values())).setGroupMembersView(any.getGroupMembersView())
                .build();
    }

    /** What the library starts from, or null where this member has never run in a group. */
    RestoredRaftState restored() {
        if (self == null || founders == null) {
            return null;
        }
        RaftTermPersistentState at = term != null ? term
                : Models.FACTORY.createRaftTermPersistentStateBuilder().setTerm(0).setVotedFor(null).build();
        return new RestoredRaftState(self, founders, at, restored, new ArrayList<>(entries.values()));
    }

    /** The pieces of the snapshot that was found, and the changes behind it that were known to be accepted. */
    List<byte[]> snapshotPieces() {
        List<byte[]> pieces = new ArrayList<>();
        if (restored != null) {
            for (Object chunk : (List<?>) restored.getOperation()) {
                pieces.add((byte[]) ((SnapshotChunk) chunk).getOperation());
            }
        }
        return pieces;
    }

    Map<Long, LogEntry> accepted() {
        return new TreeMap<>(entries.headMap(committed, true));
    }

    long lastIndex() {
        return entries.isEmpty() ? restored == null ? 0 : restored.getIndex() : entries.lastKey();
    }

    int termNumber() {
        return term == null ? 0 : term.getTerm();
    }

    /** The library has taken over what was read. */
    void forget() {
        entries = new TreeMap<>();
        restored = null;
    }

    // ---- while it runs ----

    void onFailure(Runnable then) {
        onFailure = then;
    }

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

    private int records;
    private boolean committedUnsaid;

    private interface Record {
        void write(Cbor.Out out);
    }

    private void add(Record record) throws IOException {
        check();
        Cbor.Out out = new Cbor.Out();
        record.write(out);
        pending.writeBytes(out.done());
        records++;
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        self = state;
        add(this::self);
        flush();
    }

    private void self(Cbor.Out out) {
        Models.endpoints(out.number(SELF), List.of(self.getLocalEndpoint())).flag(self.isVoting());
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        founders = members;
        add(this::founders);
        flush();
    }

    private void founders(Cbor.Out out) {
        Models.view(out.number(FOUNDERS), founders);
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        term = state;
        add(this::term);
        flush();
    }

    private void term(Cbor.Out out) {
        Models.endpoints(out.number(TERM).number(term.getTerm()),
                term.getVotedFor() == null ? List.of() : List.of(term.getVotedFor()));
    }

    @Override
    public void persistLogEntries(List<LogEntry> added) throws IOException {
        for (LogEntry entry : added) {
            add(out -> Models.entry(out.number(ENTRY), entry));
            highest = Math.max(highest, entry.getIndex());
        }
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        add(out -> out.number(CUT_FROM).number(index));
    }

    /** A majority has accepted all up to here; on disk with the next flush, so that a restart knows it by itself. */
    void accepted(long index) throws IOException {
        check();
        committedUnsaid |= index > committed;
        committed = Math.max(committed, index);
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        check();
        try {
            while (!closed.isEmpty() && closed.firstEntry().getValue()[0] <= index) {
                long first = closed.firstKey();
                sinceSnapshot -= closed.remove(first)[1];
                disk.delete(name(SEGMENT, first));
            }
        } catch (IOException e) {
            throw failed(e);
        }
    }

    private static String name(String kind, long number) {
        String digits = Long.toString(number);
        return kind + "0".repeat(Math.max(0, 16 - digits.length())) + digits;
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        check();
        try {
            if (snapshot == null || snapshotIndex != chunk.getIndex()) {
                if (snapshot != null) {
                    snapshot.close();
                }
                snapshotIndex = chunk.getIndex();
                snapshots.put(snapshotIndex, 0L);
                pieces.clear();
                snapshot = disk.create(name(SNAPSHOT, snapshotIndex));
            }
            byte[] frame = Frames.frame(Models.chunk(new Cbor.Out(), chunk).done());
            snapshot.write(frame);
            snapshots.merge(snapshotIndex, (long) frame.length, Long::sum);
            snapshotUnforced = true;
            pieces.add(chunk.getSnapshotChunkIndex());
            snapshotWhole = pieces.size() == chunk.getSnapshotChunkCount();
        } catch (IOException e) {
            throw failed(e);
        }
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        check();
        try {
            if (index == snapshotIndex && snapshot != null) {
                snapshot.close();
                snapshot = null;
            }
            if (snapshots.remove(index) != null) {
                disk.delete(name(SNAPSHOT, index));
            }
        } catch (IOException e) {
            throw failed(e);
        }
    }

    @Override
    public void flush() throws IOException {
        check();
        try {
            if (snapshotUnforced) {
                snapshot.force();
                snapshotUnforced = false;
                write();
                // What the snapshot makes superfluous is to lie in segments that can go whole.
                roll();
                if (snapshotWhole) {
                    dropSnapshotsBefore(snapshotIndex);
                }
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

    /** The library asks for the deletion of broken-off ones only. */
    private void dropSnapshotsBefore(long index) throws IOException {
        while (snapshots.firstKey() < index) {
            disk.delete(name(SNAPSHOT, snapshots.pollFirstEntry().getKey()));
        }
    }

    private void write() throws IOException {
        if (committedUnsaid) {
            committedUnsaid = false;
            add(out -> out.number(COMMITTED).number(committed));
        }
        if (records == 0) {
            return;
        }
        ByteArrayOutputStream content = new ByteArrayOutputStream(pending.size() + 8);
        content.writeBytes(new Cbor.Out().number(records).done());
        pending.writeTo(content);
        byte[] frame = Frames.frame(content.toByteArray());
        segment.write(frame);
        segment.force();
        size += frame.length;
        sinceSnapshot += frame.length;
        pending = pending.size() > SEGMENT_MOST ? new ByteArrayOutputStream() : pending;
        pending.reset();
        records = 0;
    }

    /** Begins a new segment. */
    private void roll() throws IOException {
        if (segment != null) {
            segment.close();
            closed.put(number, new long[] {highest, size});
        }
        number++;
        highest = 0;
        size = 0;
        segment = disk.create(name(SEGMENT, number));
        if (self != null) {
            add(this::self);
        }
        if (founders != null) {
            add(this::founders);
        }
        if (term != null) {
            add(this::term);
        }
        committedUnsaid = committed > 0;
        write();
    }

    /** Bytes of history, and of the last snapshot. */
    long historyBytes() {
        return sinceSnapshot;
    }

    long snapshotBytes() {
        return snapshots.isEmpty() ? 0 : snapshots.lastEntry().getValue();
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
            if (snapshot != null) {
                snapshot.close();
            }
            if (folder) {
                disk.close();
            }
        } catch (IOException e) {
            Log.warn("store: %s", e.getMessage());
        }
    }
}
