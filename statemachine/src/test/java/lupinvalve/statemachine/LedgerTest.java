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

class LedgerTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Change any(Random random, long now) {
        Change.Holding held = new Change.Holding(Change.Kind.values()[random.nextInt(2)], "x" + random.nextInt(4));
        return switch (random.nextInt(7)) {
            case 0 -> new Change.Put(random.nextInt(4), bytes("{\"n\":" + random.nextInt() + "}"));
            case 1 -> new Change.Hold(held, "why " + random.nextInt(9), now);
            case 2 -> new Change.Release(held);
            case 3 -> {
                Map<String, Long> positions = new HashMap<>();
                for (int i = random.nextInt(20); i > 0; i--) {
                    positions.put("s" + random.nextInt(300), now - random.nextInt(900_000_000));
                }
                yield new Change.Commits(now, positions);
            }
            case 4 -> new Change.Listing(
                    random.nextInt(50),
                    List.of(new Change.Listed(
                            new Endpoint("db-1", 1, 0, EndpointState.DRAINING, random.nextBoolean(), now),
                            Map.of("pg", "127.0.0.1:1", "mysql", "127.0.0.1:2"),
                            random.nextBoolean() ? LogPosition.UNKNOWN : now)));
            case 5 -> new Change.Place(
                    "m" + random.nextInt(3), random.nextInt(3) == 0 ? "" : "10.0.0.1:" + random.nextInt(9));
            default -> new Change.Nothing();
        };
    }

    private static List<String> state(Ledger ledger) {
        return Encoding.snapshot(ledger).stream().map(Arrays::toString).toList();
    }

    @Test
    void changesAndSnapshotsComeBackAsTheyWereAndLeadToTheSame() throws Exception {
        for (int seed = 0; seed < 60; seed++) {
            Random random = new Random(seed);
            Ledger one = new Ledger();
            Ledger read = new Ledger();
            Ledger resumed = new Ledger();
            for (int i = 1; i < 150; i++) {
                Change change = any(random, 1_000_000_000L + i * 20_000_000L);
                byte[] written = Encoding.write(change);
                assertArrayEquals(written, Encoding.write(Encoding.read(written)));
                Ledger.Outcome outcome = one.apply(i, change);
                assertEquals(outcome, read.apply(i, Encoding.read(written)));
                assertEquals(outcome, resumed.apply(i, change));
                if (random.nextInt(10) == 0) {
                    Ledger next = new Ledger();
                    Encoding.restore(next, Encoding.snapshot(resumed));
                    resumed = next;
                }
            }
            assertEquals(state(one), state(read));
            assertEquals(state(one), state(resumed));
        }
    }

    @Test
    void aConfigurationReplacesOnlyTheRevisionThatWasMeant() {
        Ledger ledger = new Ledger();
        assertNull(ledger.document());
        assertEquals(new Ledger.Outcome(Ledger.Result.CONFLICT, 0), ledger.apply(1, new Change.Put(1, bytes("a"))));
        assertEquals(new Ledger.Outcome(Ledger.Result.DONE, 1), ledger.apply(2, new Change.Put(0, bytes("a"))));
        assertEquals(new Ledger.Outcome(Ledger.Result.CONFLICT, 1), ledger.apply(3, new Change.Put(0, bytes("b"))));
        assertEquals(
                new Ledger.Outcome(Ledger.Result.TOO_MUCH, 1),
                ledger.apply(4, new Change.Put(1, new byte[Ledger.DOCUMENT_MOST + 1])));
        assertEquals(2, ledger.document().index());
        assertEquals(Ledger.digest(bytes("a")), ledger.document().digest());
    }

    @Test
    void sessionsAreBoundedAndAge() {
        Sessions sessions = new Sessions();
        Map<String, Long> many = new HashMap<>();
        for (int i = 0; i < Sessions.MOST + 100; i++) {
            many.put("s" + i, 1_000_000_000L + i);
        }
        sessions.take(1_000_000_000L, many);
        assertEquals(Sessions.MOST, sessions.size());
        assertEquals(0, sessions.last("s99"));
        assertEquals(1_000_000_100L, sessions.last("s100"));
        sessions.take(1_000_000_000L, Map.of("s100", 5L));
        assertEquals(1_000_000_100L, sessions.last("s100"), "a commit never goes back");
        sessions.take(1_000_000_200L + Sessions.AGE, Map.of());
        assertEquals(0, sessions.last("s199"));
        assertEquals(1_000_000_200L, sessions.last("s200"));
    }

    @Test
    void whatIsNoChangeIsTurnedDown() {
        byte[] put = Encoding.write(new Change.Put(0, bytes("{}")));
        assertThrows(IOException.class, () -> Encoding.read(Arrays.copyOf(put, put.length - 1)));
        assertThrows(IOException.class, () -> Encoding.read(new byte[] {23}));
        assertThrows(IOException.class, () -> Encoding.read(Arrays.copyOf(put, put.length + 1)));
        assertThrows(
                IOException.class,
                () -> Encoding.restore(
                        new Ledger(), List.of(new Cbor.Out().number(2).done())));
    }

    @Test
    void aBundleIsOutUntilItIsAnsweredAndNothingIsForgotten() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            Outbox outbox = new Outbox();
            Map<String, Long> wanted = new HashMap<>();
            Map<String, Long> accepted = new HashMap<>();
            List<Map.Entry<Long, Map.Entry<String, Long>>> numbers = new ArrayList<>();
            Change.Commits out = null;
            long done = 0;
            for (long now = 0; now < 40_000_000 || outbox.size() > 0; now += 1000 + random.nextInt(300_000)) {
                if (now < 40_000_000) {
                    String session = "s" + random.nextInt(5000);
                    wanted.put(session, now);
                    numbers.add(Map.entry(outbox.add(session, now, now), Map.entry(session, now)));
                }
                if (out == null) {
                    out = outbox.next(now);
                } else {
                    boolean taken = random.nextInt(3) > 0;
                    if (taken) {
                        out.positions().forEach((s, p) -> accepted.merge(s, p, Math::max));
                    }
                    done = Math.max(done, outbox.answered(taken, now));
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
        assertEquals(false, Compaction.due(Compaction.LEAST, 0, 0));
        assertEquals(true, Compaction.due(Compaction.LEAST + 1, 0, 0));
        assertEquals(false, Compaction.due(3_000_000, 0, 3_000_000));
        assertEquals(false, Compaction.due(4_000_000, 2_000_000, 3_000_000));
    }

    @Test
    void cutOffAPoolerGoesOnWithWhatItHasAndSaysSoOnce() {
        Adoption adoption = new Adoption(0);
        assertEquals("no configuration was accepted yet; what needs one is not served", adoption.acting());
        Ledger.Document first = new Ledger.Document(1, 5, "d1", bytes("{}"));
        assertEquals(Adoption.Verdict.ADOPT, adoption.accepted(first, null));
        assertEquals(Adoption.Verdict.KNOWN, adoption.accepted(first, null));
        assertEquals(
                Adoption.Verdict.UNREADABLE, adoption.accepted(new Ledger.Document(2, 6, "d2", bytes("?")), "strange"));
        assertEquals(first, adoption.running());
        assertEquals("serving with revision 1 (d1); revision 2 can't be used: strange", adoption.acting());
        assertNull(adoption.touch(false, Adoption.GRACE - 1));
        assertEquals("cut off from the majority: " + adoption.acting(), adoption.touch(false, Adoption.GRACE));
        assertNull(adoption.touch(false, Adoption.GRACE + 1));
        assertEquals("in touch with the majority again", adoption.touch(true, Adoption.GRACE + 2));
        assertNull(adoption.touch(true, Adoption.GRACE + 3));
    }
}
