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
    private static final MemberId MEMBER = new MemberId("a", "d1");
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

    /** Persists the identity, the group's members, a term and a vote. */
    private static void persistInitialState(SegmentedLog log) throws IOException {
        log.persistAnnouncement(
                new ClusterBootstrap.Announcement(MEMBER, ClusterBootstrap.Phase.BOOTSTRAPPED, Set.of(MEMBER)));
        log.persistAndFlushLocalEndpoint(RaftCodec.FACTORY
                .createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(new MemberEndpoint(MEMBER))
                .setVoting(true)
                .build());
        log.persistAndFlushInitialGroupMembers(RaftCodec.FACTORY
                .createRaftGroupMembersViewBuilder()
                .setLogIndex(0)
                .setMembers(List.of(new MemberEndpoint(MEMBER)))
                .setVotingMembers(List.of(new MemberEndpoint(MEMBER)))
                .build());
        log.persistAndFlushTerm(RaftCodec.FACTORY
                .createRaftTermPersistentStateBuilder()
                .setTerm(3)
                .setVotedFor(new MemberEndpoint(MEMBER))
                .build());
    }

    /** Opens a log and appends 20 entries, each forced. */
    private SegmentedLog writeTwentyEntries() throws IOException {
        SegmentedLog log = open(disk);
        persistInitialState(log);
        for (int i = 1; i <= 20; i++) {
            log.persistLogEntries(List.of(entry(i, 3)));
            log.flush();
        }
        return log;
    }

    /** Name of the last segment file of the log. */
    private String lastSegmentFile() {
        return disk.files.lastEntry().getKey().startsWith("history")
                ? disk.files.lastKey()
                : disk.files.headMap("identity").lastKey();
    }

    @Test
    void aTornEndIsTruncatedAndNoEarlierEntryIsLost() throws Exception {
        writeTwentyEntries();
        String name = lastSegmentFile();
        byte[] intact = disk.content(name);
        long previousLastIndex = -1;
        for (int size = 0; size <= intact.length; size++) {
            SimulatedDisk torn = disk.copy();
            torn.put(name, Arrays.copyOf(intact, size));
            // Some file systems leave zeros in place of lost data.
            SimulatedDisk zeros = disk.copy();
            zeros.put(name, Arrays.copyOf(Arrays.copyOf(intact, size), size + 5000));
            SegmentedLog log = open(torn);
            assertEquals(log.lastIndex(), open(zeros).lastIndex());
            assertTrue(log.lastIndex() >= previousLastIndex, "a longer prefix of the file has no fewer entries");
            previousLastIndex = log.lastIndex();
            // The truncation is permanent: an entry appended after it is the last one at the next opening.
            if (log.lastIndex() > 0) {
                log.persistLogEntries(List.of(entry(log.lastIndex() + 1, 4)));
                log.flush();
                assertEquals(log.lastIndex() + 1, open(torn).lastIndex());
            }
        }
        assertEquals(20, previousLastIndex);
    }

    @Test
    void aFlippedBitAnywherePreventsOpening() throws Exception {
        writeTwentyEntries();
        for (String name : disk.names()) {
            byte[] intact = disk.content(name);
            for (int at = 0; at < intact.length; at++) {
                SimulatedDisk damaged = disk.copy();
                byte[] bytes = intact.clone();
                bytes[at] ^= (byte) (1 << at % 8);
                damaged.put(name, bytes);
                int byteOffset = at;
                IOException failure =
                        assertThrows(IOException.class, () -> open(damaged), () -> name + " byte " + byteOffset);
                assertTrue(failure.getMessage().startsWith(name + ", byte "), failure.getMessage());
            }
        }
    }

    @Test
    void aForeignOrMissingIdentityANewerFormatOrAGapPreventsOpening() throws Exception {
        writeTwentyEntries();
        assertEquals(
                "identity: the file belongs to cluster plant, expected dock",
                assertThrows(IOException.class, () -> SegmentedLog.open(disk, "dock", "a", "d1"))
                        .getMessage());
        assertEquals(
                "identity: the file belongs to member a, expected b",
                assertThrows(IOException.class, () -> SegmentedLog.open(disk, "plant", "b", "d1"))
                        .getMessage());
        SimulatedDisk newerFormat = disk.copy();
        newerFormat.put(
                "identity",
                RecordFrames.frame(
                        new lupinvalve.statemachine.Cbor.Writer().number(2).toByteArray()));
        assertEquals(
                "identity: format version 2 is not supported; this program reads version 1",
                assertThrows(IOException.class, () -> open(newerFormat)).getMessage());
        SimulatedDisk withoutIdentity = disk.copy();
        withoutIdentity.files.remove("identity");
        assertTrue(assertThrows(IOException.class, () -> open(withoutIdentity))
                .getMessage()
                .startsWith("identity is missing"));
        SimulatedDisk withGap = disk.copy();
        SegmentedLog log = open(withGap);
        log.persistLogEntries(List.of(entry(30, 3)));
        log.flush();
        assertTrue(assertThrows(IOException.class, () -> open(withGap))
                .getMessage()
                .contains("changes 1 to 29 are missing"));
    }

    @Test
    void aGapBetweenTheSnapshotAndTheLogPreventsOpening() throws Exception {
        SegmentedLog log = writeTwentyEntries();
        log.advanceCommitIndex(12);
        ReplicatedState state = new ReplicatedState();
        for (int i = 1; i <= 15; i++) {
            state.apply(i, CommandCodec.decode((byte[]) entry(i, 3).getOperation()));
        }
        List<byte[]> chunks = SnapshotCodec.encode(state);
        for (int i = 0; i < chunks.size(); i++) {
            log.persistSnapshotChunk(RaftCodec.FACTORY
                    .createSnapshotChunkBuilder()
                    .setIndex(15)
                    .setTerm(3)
                    .setSnapshotChunkIndex(i)
                    .setSnapshotChunkCount(chunks.size())
                    .setOperation(chunks.get(i))
                    .setGroupMembersView(RaftCodec.FACTORY
                            .createRaftGroupMembersViewBuilder()
                            .setLogIndex(0)
                            .setMembers(List.of(new MemberEndpoint(MEMBER)))
                            .setVotingMembers(List.of(new MemberEndpoint(MEMBER)))
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
        // Entries 16 to 20 were in the deleted segment and are not in the snapshot: opening must fail.
        assertTrue(assertThrows(IOException.class, () -> open(disk.copy()))
                .getMessage()
                .contains("changes 16 to 20"));
    }

    @Test
    void aRestartRestoresTheCommittedStateTermVoteAndEntries() throws Exception {
        SegmentedLog log = writeTwentyEntries();
        log.advanceCommitIndex(12);
        log.flush();
        SegmentedLog reopened = open(disk);
        assertEquals(12, RaftReplica.committedState(reopened).revision());
        assertEquals(3, reopened.restoredState().getTermPersistentState().getTerm());
        assertEquals(
                MEMBER,
                MemberEndpoint.of(
                        reopened.restoredState().getTermPersistentState().getVotedFor()));
        assertEquals(20, reopened.restoredState().getLogEntries().size());
    }

    @Test
    void afterTheFirstDiskFailureAllWritesFail() throws Exception {
        SegmentedLog log = writeTwentyEntries();
        int[] failureCount = {0};
        log.onFailure(() -> failureCount[0]++);
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
        assertEquals(1, failureCount[0]);
        assertEquals(20, open(disk).lastIndex());
    }
}
