package lupinvalve.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.microraft.model.log.LogEntry;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import lupinvalve.statemachine.ClusterBootstrap;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.CommandCodec;
import lupinvalve.statemachine.MemberId;
import lupinvalve.statemachine.ReplicatedState;
import lupinvalve.statemachine.SnapshotCodec;
import org.junit.jupiter.api.Test;

class SegmentedLogTest {
    private static final MemberId ME = new MemberId("a", "d1");
    private final SimulatedDisk disk = new SimulatedDisk();

    private static SegmentedLog open(SimulatedDisk from) throws IOException {
        return SegmentedLog.open(from, "plant", "a", "d1");
    }

    private static LogEntry entry(long index, int term) {
        return RaftCodec.FACTORY
                .createLogEntryBuilder()
                .setIndex(index)
                .setTerm(term)
                .setOperation(CommandCodec.encode(
                        new Command.PutDocument(index - 1, ("{\"n\":" + index + "}").getBytes(StandardCharsets.UTF_8))))
                .build();
    }

    private static void begin(SegmentedLog log) throws IOException {
        log.persistAnnouncement(new ClusterBootstrap.Announcement(ME, ClusterBootstrap.Phase.BOOTSTRAPPED, Set.of(ME)));
        log.persistAndFlushLocalEndpoint(RaftCodec.FACTORY
                .createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(new MemberEndpoint(ME))
                .setVoting(true)
                .build());
        log.persistAndFlushInitialGroupMembers(RaftCodec.FACTORY
                .createRaftGroupMembersViewBuilder()
                .setLogIndex(0)
                .setMembers(List.of(new MemberEndpoint(ME)))
                .setVotingMembers(List.of(new MemberEndpoint(ME)))
                .build());
        log.persistAndFlushTerm(RaftCodec.FACTORY
                .createRaftTermPersistentStateBuilder()
                .setTerm(3)
                .setVotedFor(new MemberEndpoint(ME))
                .build());
    }

    /** A history of 20 changes, each forced. */
    private SegmentedLog written() throws IOException {
        SegmentedLog log = open(disk);
        begin(log);
        for (int i = 1; i <= 20; i++) {
            log.persistLogEntries(List.of(entry(i, 3)));
            log.flush();
        }
        return log;
    }

    private String history() {
        return disk.files.lastEntry().getKey().startsWith("history")
                ? disk.files.lastKey()
                : disk.files.headMap("identity").lastKey();
    }

    @Test
    void aTornEndIsCutAndNothingBeforeItIsLost() throws Exception {
        written();
        String name = history();
        byte[] whole = disk.content(name);
        long before = -1;
        for (int size = 0; size <= whole.length; size++) {
            SimulatedDisk torn = disk.copy();
            torn.put(name, Arrays.copyOf(whole, size));
            // Some systems leave zeros where the rest should be.
            SimulatedDisk zeros = disk.copy();
            zeros.put(name, Arrays.copyOf(Arrays.copyOf(whole, size), size + 5000));
            SegmentedLog log = open(torn);
            assertEquals(log.lastIndex(), open(zeros).lastIndex());
            assertTrue(log.lastIndex() >= before, "more is there than with less");
            before = log.lastIndex();
            // What was cut is gone for good, and the history goes on behind it.
            if (log.lastIndex() > 0) {
                log.persistLogEntries(List.of(entry(log.lastIndex() + 1, 4)));
                log.flush();
                assertEquals(log.lastIndex() + 1, open(torn).lastIndex());
            }
        }
        assertEquals(20, before);
    }

    @Test
    void aFlippedBitAnywhereStopsTheStart() throws Exception {
        written();
        for (String name : disk.names()) {
            byte[] whole = disk.content(name);
            for (int at = 0; at < whole.length; at++) {
                SimulatedDisk damaged = disk.copy();
                byte[] bytes = whole.clone();
                bytes[at] ^= (byte) (1 << at % 8);
                damaged.put(name, bytes);
                int where = at;
                IOException refused =
                        assertThrows(IOException.class, () -> open(damaged), () -> name + " byte " + where);
                assertTrue(refused.getMessage().startsWith(name + ", byte "), refused.getMessage());
            }
        }
    }

    @Test
    void aForeignFolderOrANewerFormatStopsTheStart() throws Exception {
        written();
        assertEquals(
                "identity: the file belongs to cluster plant, expected dock",
                assertThrows(IOException.class, () -> SegmentedLog.open(disk, "dock", "a", "d1"))
                        .getMessage());
        assertEquals(
                "identity: the file belongs to member a, expected b",
                assertThrows(IOException.class, () -> SegmentedLog.open(disk, "plant", "b", "d1"))
                        .getMessage());
        SimulatedDisk newer = disk.copy();
        newer.put(
                "identity",
                RecordFrames.frame(
                        new lupinvalve.statemachine.Cbor.Writer().number(2).toByteArray()));
        assertEquals(
                "identity: format version 2 is not supported; this program reads version 1",
                assertThrows(IOException.class, () -> open(newer)).getMessage());
        SimulatedDisk bare = disk.copy();
        bare.files.remove("identity");
        assertTrue(
                assertThrows(IOException.class, () -> open(bare)).getMessage().startsWith("identity is missing"));
        SimulatedDisk gap = disk.copy();
        SegmentedLog log = open(gap);
        log.persistLogEntries(List.of(entry(30, 3)));
        log.flush();
        assertTrue(
                assertThrows(IOException.class, () -> open(gap)).getMessage().contains("changes 1 to 29 are missing"));
    }

    @Test
    void termVoteMembersAndWhatWasAcceptedOutliveSegments() throws Exception {
        SegmentedLog log = written();
        log.advanceCommitIndex(12);
        ReplicatedState ledger = new ReplicatedState();
        for (int i = 1; i <= 15; i++) {
            ledger.apply(i, CommandCodec.decode((byte[]) entry(i, 3).getOperation()));
        }
        List<byte[]> pieces = SnapshotCodec.encode(ledger);
        for (int i = 0; i < pieces.size(); i++) {
            log.persistSnapshotChunk(RaftCodec.FACTORY
                    .createSnapshotChunkBuilder()
                    .setIndex(15)
                    .setTerm(3)
                    .setSnapshotChunkIndex(i)
                    .setSnapshotChunkCount(pieces.size())
                    .setOperation(pieces.get(i))
                    .setGroupMembersView(RaftCodec.FACTORY
                            .createRaftGroupMembersViewBuilder()
                            .setLogIndex(0)
                            .setMembers(List.of(new MemberEndpoint(ME)))
                            .setVotingMembers(List.of(new MemberEndpoint(ME)))
                            .build())
                    .build());
        }
        log.flush();
        log.truncateLogEntriesUntil(20);
        assertEquals(
                1,
                disk.names().stream().filter(name -> name.startsWith("history")).count());
        log.persistLogEntries(List.of(entry(21, 3), entry(22, 3)));
        log.truncateLogEntriesFrom(22);
        log.persistLogEntries(List.of(entry(22, 4)));
        log.flush();
        // The changes that lay in the segment gone are missing behind the snapshot: that must not pass.
        assertTrue(assertThrows(IOException.class, () -> open(disk.copy()))
                .getMessage()
                .contains("changes 16 to 20"));
    }

    @Test
    void aRestartKnowsByItselfWhatWasAccepted() throws Exception {
        SegmentedLog log = written();
        log.advanceCommitIndex(12);
        log.flush();
        SegmentedLog again = open(disk);
        assertEquals(12, RaftReplica.committedState(again).revision());
        assertEquals(3, again.restoredState().getTermPersistentState().getTerm());
        assertEquals(
                ME,
                MemberEndpoint.of(again.restoredState().getTermPersistentState().getVotedFor()));
        assertEquals(20, again.restoredState().getLogEntries().size());
    }

    @Test
    void afterTheFirstFaultNothingIsTaken() throws Exception {
        SegmentedLog log = written();
        int[] told = {0};
        log.onFailure(() -> told[0]++);
        disk.freeBytes = 10;
        log.persistLogEntries(List.of(entry(21, 3)));
        assertThrows(IOException.class, log::flush);
        disk.freeBytes = Long.MAX_VALUE;
        assertThrows(IOException.class, () -> log.persistLogEntries(List.of(entry(22, 3))));
        assertThrows(IOException.class, log::flush);
        assertThrows(
                IOException.class,
                () -> log.persistAndFlushTerm(RaftCodec.FACTORY
                        .createRaftTermPersistentStateBuilder()
                        .setTerm(9)
                        .setVotedFor(null)
                        .build()));
        assertEquals(1, told[0]);
        assertEquals(20, open(disk).lastIndex());
    }
}
