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

    private static Command any(Random random, long now) {
        Command.DrainTarget held =
                new Command.DrainTarget(Command.TargetKind.values()[random.nextInt(2)], "x" + random.nextInt(4));
        return switch (random.nextInt(7)) {
            case 0 -> new Command.PutDocument(random.nextInt(4), bytes("{\"n\":" + random.nextInt() + "}"));
            case 1 -> new Command.StartDrain(held, "why " + random.nextInt(9), now);
            case 2 -> new Command.EndDrain(held);
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

    private static List<String> state(ReplicatedState ledger) {
        return SnapshotCodec.encode(ledger).stream().map(Arrays::toString).toList();
    }

    @Test
    void changesAndSnapshotsComeBackAsTheyWereAndLeadToTheSame() throws Exception {
        for (int seed = 0; seed < 60; seed++) {
            Random random = new Random(seed);
            ReplicatedState one = new ReplicatedState();
            ReplicatedState read = new ReplicatedState();
            ReplicatedState resumed = new ReplicatedState();
            for (int i = 1; i < 150; i++) {
                Command change = any(random, 1_000_000_000L + i * 20_000_000L);
                byte[] written = CommandCodec.encode(change);
                assertArrayEquals(written, CommandCodec.encode(CommandCodec.decode(written)));
                ReplicatedState.Outcome outcome = one.apply(i, change);
                assertEquals(outcome, read.apply(i, CommandCodec.decode(written)));
                assertEquals(outcome, resumed.apply(i, change));
                if (random.nextInt(10) == 0) {
                    ReplicatedState next = new ReplicatedState();
                    SnapshotCodec.restore(next, SnapshotCodec.encode(resumed));
                    resumed = next;
                }
            }
            assertEquals(state(one), state(read));
            assertEquals(state(one), state(resumed));
        }
    }

    @Test
    void aConfigurationReplacesOnlyTheRevisionThatWasMeant() {
        ReplicatedState ledger = new ReplicatedState();
        assertNull(ledger.document());
        assertEquals(
                new ReplicatedState.Outcome(ReplicatedState.Result.CONFLICT, 0),
                ledger.apply(1, new Command.PutDocument(1, bytes("a"))));
        assertEquals(
                new ReplicatedState.Outcome(ReplicatedState.Result.APPLIED, 1),
                ledger.apply(2, new Command.PutDocument(0, bytes("a"))));
        assertEquals(
                new ReplicatedState.Outcome(ReplicatedState.Result.CONFLICT, 1),
                ledger.apply(3, new Command.PutDocument(0, bytes("b"))));
        assertEquals(
                new ReplicatedState.Outcome(ReplicatedState.Result.LIMIT_EXCEEDED, 1),
                ledger.apply(4, new Command.PutDocument(1, new byte[ReplicatedState.MAX_DOCUMENT_BYTES + 1])));
        assertEquals(2, ledger.document().index());
        assertEquals(ReplicatedState.digest(bytes("a")), ledger.document().digest());
    }

    @Test
    void sessionsAreBoundedAndAge() {
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
        assertEquals(1_000_000_100L, sessions.lastCommit("s100"), "a commit never goes back");
        sessions.apply(1_000_000_200L + SessionTable.MAX_AGE_MICROS, Map.of());
        assertEquals(0, sessions.lastCommit("s199"));
        assertEquals(1_000_000_200L, sessions.lastCommit("s200"));
    }

    @Test
    void whatIsNoChangeIsTurnedDown() {
        byte[] put = CommandCodec.encode(new Command.PutDocument(0, bytes("{}")));
        assertThrows(IOException.class, () -> CommandCodec.decode(Arrays.copyOf(put, put.length - 1)));
        assertThrows(IOException.class, () -> CommandCodec.decode(new byte[] {23}));
        assertThrows(IOException.class, () -> CommandCodec.decode(Arrays.copyOf(put, put.length + 1)));
        assertThrows(
                IOException.class,
                () -> SnapshotCodec.restore(
                        new ReplicatedState(),
                        List.of(new Cbor.Writer().number(2).toByteArray())));
    }

    @Test
    void aBundleIsOutUntilItIsAnsweredAndNothingIsForgotten() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            SessionCommitBatcher outbox = new SessionCommitBatcher();
            Map<String, Long> wanted = new HashMap<>();
            Map<String, Long> accepted = new HashMap<>();
            List<Map.Entry<Long, Map.Entry<String, Long>>> numbers = new ArrayList<>();
            Command.SessionCommits out = null;
            long done = 0;
            for (long now = 0; now < 40_000_000 || outbox.size() > 0; now += 1000 + random.nextInt(300_000)) {
                if (now < 40_000_000) {
                    String session = "s" + random.nextInt(5000);
                    wanted.put(session, now);
                    numbers.add(Map.entry(outbox.add(session, now, now), Map.entry(session, now)));
                }
                if (out == null) {
                    out = outbox.nextBatch(now);
                } else {
                    boolean taken = random.nextInt(3) > 0;
                    if (taken) {
                        out.positions().forEach((s, p) -> accepted.merge(s, p, Math::max));
                    }
                    done = Math.max(done, outbox.onBatchAnswered(taken, now));
                    out = null;
                }
                for (Map.Entry<Long, Map.Entry<String, Long>> number : numbers) {
                    if (number.getKey() <= done) {
                        assertEquals(
                                true,
                                accepted.getOrDefault(number.getValue().getKey(), -1L)
                                        >= number.getValue().getValue(),
                                "told as held before it was");
                    }
                }
                long upTo = done;
                numbers.removeIf(number -> number.getKey() <= upTo);
            }
            assertEquals(wanted, accepted);
            assertEquals(List.of(), numbers);
        }
    }

    @Test
    void historyIsCutOnceItOutweighsTheState() {
        assertEquals(false, CompactionPolicy.isDue(CompactionPolicy.MIN_HISTORY_BYTES, 0, 0));
        assertEquals(true, CompactionPolicy.isDue(CompactionPolicy.MIN_HISTORY_BYTES + 1, 0, 0));
        assertEquals(false, CompactionPolicy.isDue(3_000_000, 0, 3_000_000));
        assertEquals(false, CompactionPolicy.isDue(4_000_000, 2_000_000, 3_000_000));
    }

    @Test
    void cutOffAPoolerGoesOnWithWhatItHasAndSaysSoOnce() {
        ActiveConfiguration adoption = new ActiveConfiguration(0);
        assertEquals("no configuration was accepted yet; what needs one is not served", adoption.describe());
        ReplicatedState.Document first = new ReplicatedState.Document(1, 5, "d1", bytes("{}"));
        assertEquals(ActiveConfiguration.Verdict.ACTIVATE, adoption.onCommitted(first, null));
        assertEquals(ActiveConfiguration.Verdict.NOT_NEWER, adoption.onCommitted(first, null));
        assertEquals(
                ActiveConfiguration.Verdict.UNREADABLE,
                adoption.onCommitted(new ReplicatedState.Document(2, 6, "d2", bytes("?")), "strange"));
        assertEquals(first, adoption.active());
        assertEquals("serving with revision 1 (d1); revision 2 can't be used: strange", adoption.describe());
        assertNull(adoption.onQuorumContact(false, ActiveConfiguration.CUT_OFF_GRACE_MICROS - 1));
        assertEquals(
                "cut off from the majority: " + adoption.describe(),
                adoption.onQuorumContact(false, ActiveConfiguration.CUT_OFF_GRACE_MICROS));
        assertNull(adoption.onQuorumContact(false, ActiveConfiguration.CUT_OFF_GRACE_MICROS + 1));
        assertEquals(
                "in touch with the majority again",
                adoption.onQuorumContact(true, ActiveConfiguration.CUT_OFF_GRACE_MICROS + 2));
        assertNull(adoption.onQuorumContact(true, ActiveConfiguration.CUT_OFF_GRACE_MICROS + 3));
    }
}
