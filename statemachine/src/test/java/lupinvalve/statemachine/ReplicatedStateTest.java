package lupinvalve.statemachine;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import lupinvalve.routing.LogPosition;
import org.junit.jupiter.api.Test;

class ReplicatedStateTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Command randomCommand(Random random, long now) {
        Command.DrainTarget target =
                new Command.DrainTarget(Command.TargetKind.values()[random.nextInt(2)], "x" + random.nextInt(4));
        return switch (random.nextInt(7)) {
            case 0 -> new Command.PutDocument(random.nextInt(4), bytes("{\"n\":" + random.nextInt() + "}"));
            case 1 -> new Command.StartDrain(target, "why " + random.nextInt(9), now);
            case 2 -> new Command.EndDrain(target);
            case 3 -> {
                Map<String, Long> positions = new HashMap<>();
                for (int i = random.nextInt(20); i > 0; i--) {
                    positions.put("s" + random.nextInt(300), now - random.nextInt(900_000_000));
                }
                yield new Command.SessionCommits(now, positions);
            }
            case 4 -> new Command.EndpointList(
                    random.nextInt(50),
                    List.of(new Command.KnownEndpoint(
                            new Endpoint("db-1", 1, 0, EndpointState.DRAINING, random.nextBoolean(), now),
                            Map.of("pg", "127.0.0.1:1", "mysql", "127.0.0.1:2"),
                            random.nextBoolean() ? LogPosition.UNKNOWN : now)));
            case 5 -> new Command.SetMemberAddress(
                    "m" + random.nextInt(3), random.nextInt(3) == 0 ? "" : "10.0.0.1:" + random.nextInt(9));
            default -> new Command.NoOp();
        };
    }

    private static List<String> snapshot(ReplicatedState state) {
        return SnapshotCodec.encode(state).stream().map(Arrays::toString).toList();
    }

    @Test
    void decodedCommandsAndRestoredSnapshotsLeadToTheSameState() throws Exception {
        for (int seed = 0; seed < 60; seed++) {
            Random random = new Random(seed);
            ReplicatedState original = new ReplicatedState();
            ReplicatedState fromDecoded = new ReplicatedState();
            ReplicatedState fromSnapshots = new ReplicatedState();
            for (int i = 1; i < 150; i++) {
                Command command = randomCommand(random, 1_000_000_000L + i * 20_000_000L);
                byte[] encoded = CommandCodec.encode(command);
                assertArrayEquals(encoded, CommandCodec.encode(CommandCodec.decode(encoded)));
                ReplicatedState.Outcome outcome = original.apply(i, command);
                assertEquals(outcome, fromDecoded.apply(i, CommandCodec.decode(encoded)));
                assertEquals(outcome, fromSnapshots.apply(i, command));
                if (random.nextInt(10) == 0) {
                    ReplicatedState restored = new ReplicatedState();
                    SnapshotCodec.restore(restored, SnapshotCodec.encode(fromSnapshots));
                    fromSnapshots = restored;
                }
            }
            assertEquals(snapshot(original), snapshot(fromDecoded));
            assertEquals(snapshot(original), snapshot(fromSnapshots));
        }
    }

    @Test
    void aDocumentIsStoredOnlyOnTheExpectedRevision() {
        ReplicatedState state = new ReplicatedState();
        assertNull(state.document());
        assertEquals(
                new ReplicatedState.Outcome(ReplicatedState.Result.CONFLICT, 0),
                state.apply(1, new Command.PutDocument(1, bytes("a"))));
        assertEquals(
                new ReplicatedState.Outcome(ReplicatedState.Result.APPLIED, 1),
                state.apply(2, new Command.PutDocument(0, bytes("a"))));
        assertEquals(
                new ReplicatedState.Outcome(ReplicatedState.Result.CONFLICT, 1),
                state.apply(3, new Command.PutDocument(0, bytes("b"))));
        assertEquals(
                new ReplicatedState.Outcome(ReplicatedState.Result.LIMIT_EXCEEDED, 1),
                state.apply(4, new Command.PutDocument(1, new byte[ReplicatedState.MAX_DOCUMENT_BYTES + 1])));
        assertEquals(2, state.document().index());
        assertEquals(ReplicatedState.digest(bytes("a")), state.document().digest());
    }

    @Test
    void sessionTableEvictsOldAndExcessSessions() {
        SessionTable sessions = new SessionTable();
        Map<String, Long> many = new HashMap<>();
        for (int i = 0; i < SessionTable.MAX_SESSIONS + 100; i++) {
            many.put("s" + i, 1_000_000_000L + i);
        }
        sessions.apply(1_000_000_000L, many);
        assertEquals(SessionTable.MAX_SESSIONS, sessions.size());
        assertEquals(0, sessions.lastCommit("s99"));
        assertEquals(1_000_000_100L, sessions.lastCommit("s100"));
        sessions.apply(1_000_000_000L, Map.of("s100", 5L));
        assertEquals(1_000_000_100L, sessions.lastCommit("s100"), "an older commit does not replace a newer one");
        sessions.apply(1_000_000_200L + SessionTable.MAX_AGE_MICROS, Map.of());
        assertEquals(0, sessions.lastCommit("s199"));
        assertEquals(1_000_000_200L, sessions.lastCommit("s200"));
    }

    @Test
    void invalidBytesAreRejected() {
        byte[] put = CommandCodec.encode(new Command.PutDocument(0, bytes("{}")));
        assertThrows(IOException.class, () -> CommandCodec.decode(Arrays.copyOf(put, put.length - 1)));
        assertThrows(DecodingException.class, () -> CommandCodec.decode(new byte[] {23}));
        assertThrows(DecodingException.class, () -> CommandCodec.decode(Arrays.copyOf(put, put.length + 1)));
        assertThrows(
                DecodingException.class,
                () -> SnapshotCodec.restore(
                        new ReplicatedState(),
                        List.of(new Cbor.Writer().number(2).toByteArray())));
    }

    @Test
    void oneBatchIsInFlightAtATimeAndNoCommitIsLost() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            SessionCommitBatcher batcher = new SessionCommitBatcher();
            Map<String, Long> expected = new HashMap<>();
            Map<String, Long> committedPositions = new HashMap<>();
            List<Map.Entry<Long, Map.Entry<String, Long>>> pendingCommits = new ArrayList<>();
            Command.SessionCommits batch = null;
            long committedBatchNumber = 0;
            for (long now = 0; now < 40_000_000 || batcher.size() > 0; now += 1000 + random.nextInt(300_000)) {
                if (now < 40_000_000) {
                    String session = "s" + random.nextInt(5000);
                    expected.put(session, now);
                    pendingCommits.add(Map.entry(batcher.add(session, now, now), Map.entry(session, now)));
                }
                if (batch == null) {
                    batch = batcher.nextBatch(now);
                } else {
                    boolean committed = random.nextInt(3) > 0;
                    if (committed) {
                        batch.positions()
                                .forEach((session, position) -> committedPositions.merge(session, position, Math::max));
                    }
                    committedBatchNumber = Math.max(committedBatchNumber, batcher.onBatchAnswered(committed, now));
                    batch = null;
                }
                for (Map.Entry<Long, Map.Entry<String, Long>> pendingCommit : pendingCommits) {
                    if (pendingCommit.getKey() <= committedBatchNumber) {
                        assertEquals(
                                true,
                                committedPositions.getOrDefault(
                                                pendingCommit.getValue().getKey(), -1L)
                                        >= pendingCommit.getValue().getValue(),
                                "commit was reported as committed too early");
                    }
                }
                long lastCommittedNumber = committedBatchNumber;
                pendingCommits.removeIf(pendingCommit -> pendingCommit.getKey() <= lastCommittedNumber);
            }
            assertEquals(expected, committedPositions);
            assertEquals(List.of(), pendingCommits);
        }
    }

    @Test
    void compactionIsDueOnceTheLogIsLargerThanTheSnapshot() {
        assertEquals(false, CompactionPolicy.isDue(CompactionPolicy.MIN_HISTORY_BYTES, 0, 0));
        assertEquals(true, CompactionPolicy.isDue(CompactionPolicy.MIN_HISTORY_BYTES + 1, 0, 0));
        assertEquals(false, CompactionPolicy.isDue(3_000_000, 0, 3_000_000));
        assertEquals(false, CompactionPolicy.isDue(4_000_000, 2_000_000, 3_000_000));
    }

    @Test
    void quorumLossKeepsTheConfigurationAndIsReportedOnce() {
        ActiveConfiguration active = new ActiveConfiguration(0);
        assertEquals("no configuration was accepted yet; what needs one is not served", active.describe());
        ReplicatedState.Document first = new ReplicatedState.Document(1, 5, "d1", bytes("{}"));
        assertEquals(ActiveConfiguration.Verdict.ACTIVATE, active.onCommitted(first, null));
        assertEquals(ActiveConfiguration.Verdict.NOT_NEWER, active.onCommitted(first, null));
        assertEquals(
                ActiveConfiguration.Verdict.UNREADABLE,
                active.onCommitted(new ReplicatedState.Document(2, 6, "d2", bytes("?")), "strange"));
        assertEquals(first, active.active());
        assertEquals("serving with revision 1 (d1); revision 2 can't be used: strange", active.describe());
        assertNull(active.onQuorumContact(false, ActiveConfiguration.QUORUM_LOSS_GRACE_MICROS - 1));
        assertEquals(
                "quorum lost: " + active.describe(),
                active.onQuorumContact(false, ActiveConfiguration.QUORUM_LOSS_GRACE_MICROS));
        assertNull(active.onQuorumContact(false, ActiveConfiguration.QUORUM_LOSS_GRACE_MICROS + 1));
        assertEquals(
                "quorum reachable again",
                active.onQuorumContact(true, ActiveConfiguration.QUORUM_LOSS_GRACE_MICROS + 2));
        assertNull(active.onQuorumContact(true, ActiveConfiguration.QUORUM_LOSS_GRACE_MICROS + 3));
    }
}
