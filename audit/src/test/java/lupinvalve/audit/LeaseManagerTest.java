package lupinvalve.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class LeaseManagerTest {
    private static final long MILLIS = 1000;
    private static final long START = 1_000_000_000L;

    @Test
    void aLeaseCountsFromBeforeItsRequestAndEndsEarlyByTheDrift() {
        Lease lease = new Lease(START);
        assertFalse(lease.isValid(START));
        lease.onGranted(START, Lease.DURATION_MICROS);
        assertTrue(lease.isValid(START + Lease.DURATION_MICROS - 11 * MILLIS));
        assertFalse(lease.isValid(START + Lease.DURATION_MICROS - 10 * MILLIS), "half a percent early");
        lease.onGranted(START - 500 * MILLIS, Lease.DURATION_MICROS);
        assertTrue(lease.isValid(START + Lease.DURATION_MICROS - 11 * MILLIS), "an older grant takes nothing away");
    }

    @Test
    void aStrictChangeIsDoneOnceAllActOnItOrTheirLeasesHaveEnded() {
        LeaseManager leases = new LeaseManager(START, 0);
        long later = START + 3_000 * MILLIS;
        List<String> all = List.of("a", "b", "c");
        for (String pooler : all) {
            assertEquals(
                    Lease.DURATION_MICROS, leases.renew(pooler, 10, "", later).durationMicros());
        }
        leases.requireIndex(11, later);
        assertEquals(all, leases.pendingPoolers(11, all, later));
        leases.renew("a", 11, "", later + 100 * MILLIS);
        leases.renew("b", 11, "", later + 200 * MILLIS);
        assertEquals(List.of("c"), leases.pendingPoolers(11, all, later + 200 * MILLIS));
        assertEquals(
                List.of("c"),
                leases.pendingPoolers(11, all, later + Lease.DURATION_MICROS + 9 * MILLIS),
                "its clock may be slow");
        assertEquals(List.of(), leases.pendingPoolers(11, all, later + Lease.DURATION_MICROS + 11 * MILLIS));
        assertEquals(
                Map.of("c", "not heard of, its lease has ended"),
                leases.excludedPoolers(all, later + Lease.DURATION_MICROS + 11 * MILLIS));
    }

    @Test
    void aNewLeaderWaitsForWhatTheOneBeforeMayHaveGranted() {
        LeaseManager leases = new LeaseManager(START, 0);
        assertEquals(List.of("a"), leases.pendingPoolers(5, List.of("a"), START + 1_900 * MILLIS));
        leases.renew("a", 4, "", START + 100 * MILLIS);
        assertEquals(List.of("a"), leases.pendingPoolers(5, List.of("a"), START + 1_900 * MILLIS));
        assertEquals(List.of(), leases.pendingPoolers(5, List.of("b"), START + 2_011 * MILLIS));
    }

    @Test
    void aPoolerThatStaysBehindIsExcludedAndReturnsOnceItKeepsUpForAWhile() {
        LeaseManager leases = new LeaseManager(START, 0);
        leases.renew("a", 10, "", START);
        leases.requireIndex(11, START + MILLIS);
        assertTrue(leases.renew("a", 10, "", START + 400 * MILLIS).durationMicros() > 0, "it has time to catch up");
        assertEquals(
                "acts on change 10, 11 is wanted",
                leases.renew("a", 10, "", START + 600 * MILLIS).reason());
        assertEquals(0, leases.renew("a", 11, "", START + 700 * MILLIS).durationMicros(), "watched first");
        assertEquals(
                Lease.DURATION_MICROS,
                leases.renew("a", 11, "", START + 1_400 * MILLIS).durationMicros());
        leases.requireIndex(12, START + 1_500 * MILLIS);
        assertEquals(
                "it can't be read",
                leases.renew("a", 11, "it can't be read", START + 1_600 * MILLIS)
                        .reason());
        leases.renew("a", 12, "", START + 1_700 * MILLIS);
        assertEquals(0, leases.renew("a", 12, "", START + 2_500 * MILLIS).durationMicros(), "longer the second time");
        assertEquals(
                Lease.DURATION_MICROS,
                leases.renew("a", 12, "", START + 3_000 * MILLIS).durationMicros());
    }

    @Test
    void aPoolerThatWasLeftOutGetsNoLeaseForWhatHeldBefore() {
        LeaseManager leases = new LeaseManager(START, 10);
        assertEquals(
                0,
                leases.renew("a", 9, "", START + MILLIS).durationMicros(),
                "the leader before may have called 10 done");
        assertEquals(
                Lease.DURATION_MICROS,
                leases.renew("a", 10, "", START + 2 * MILLIS).durationMicros());
        leases.requireIndex(11, START + 5_000 * MILLIS);
        assertEquals(
                List.of(),
                leases.pendingPoolers(11, List.of("a"), START + 5_000 * MILLIS),
                "its lease has ended long ago");
        assertEquals(
                0,
                leases.renew("a", 10, "", START + 5_100 * MILLIS).durationMicros(),
                "so it may not act on 10 any more");
    }

    @Test
    void aPoolerThatHasJustStartedIsNotExcluded() {
        LeaseManager leases = new LeaseManager(START, 0);
        leases.requireIndex(11, START);
        assertEquals(0, leases.renew("a", 0, "", START + 5_000 * MILLIS).durationMicros());
        assertEquals(
                Lease.DURATION_MICROS,
                leases.renew("a", 11, "", START + 5_100 * MILLIS).durationMicros());
    }

    /**
     * Poolers with clocks that drift, answers that are late or lost, leaders that change: nobody acts on less once it
     * is done.
     */
    @Test
    void nobodyActsOnAnOlderVersionOnceAStrictChangeIsDone() {
        for (long seed = 0; seed < 2_000; seed++) {
            assertEquals(List.of(), play(seed, false), "seed " + seed);
        }
    }

    @Test
    void aLeaseCountedFromItsAnswerIsFoundOut() {
        assertTrue(java.util.stream.LongStream.range(0, 500)
                .anyMatch(seed -> !play(seed, true).isEmpty()));
    }

    private static List<String> play(long seed, boolean fromAnswer) {
        Random random = new Random(seed);
        List<String> names = List.of("a", "b", "c", "d", "e");
        Map<String, Lease> leases = new TreeMap<>();
        Map<String, Long> active = new TreeMap<>();
        Map<String, Double> rate = new TreeMap<>();
        names.forEach(name -> {
            leases.put(name, new Lease(START));
            active.put(name, 1L);
            rate.put(name, 1 + (random.nextDouble() - 0.5) * Lease.MAX_CLOCK_DRIFT_RATIO);
        });
        record Answer(long atMicros, String name, long requestedMicros, long durationMicros) {}
        List<Answer> answersInFlight = new ArrayList<>();
        List<String> wrong = new ArrayList<>();
        LeaseManager leader = new LeaseManager(START, 0);
        long index = 1;
        long done = 0;
        for (long now = START; now < START + 15_000 * MILLIS; now += 50 * MILLIS) {
            long at = now;
            if (random.nextInt(80) == 0) {
                leader = new LeaseManager(now, index);
            }
            if (random.nextInt(60) == 0) {
                index++;
                leader.requireIndex(index, now);
            }
            for (String name : names) {
                long own = (long) (START + (now - START) * rate.get(name));
                boolean reached = random.nextInt(10) > (name.equals("e") ? 8 : 1);
                if (reached && random.nextInt(4) == 0) {
                    active.put(name, index);
                }
                if (reached && random.nextInt(4) == 0) {
                    LeaseManager.Renewal renewal = leader.renew(name, active.get(name), "", now);
                    long late = random.nextInt(5) == 0 ? random.nextInt(2500) * MILLIS : 0;
                    answersInFlight.add(new Answer(now + late, name, own, renewal.durationMicros()));
                }
            }
            answersInFlight.removeIf(answer -> {
                if (answer.atMicros() <= at && answer.durationMicros() > 0) {
                    long own = (long) (START + (at - START) * rate.get(answer.name()));
                    leases.get(answer.name())
                            .onGranted(fromAnswer ? own : answer.requestedMicros(), answer.durationMicros());
                }
                return answer.atMicros() <= at;
            });
            if (leader.pendingPoolers(index, names, now).isEmpty()) {
                done = index;
            }
            for (String name : names) {
                long own = (long) (START + (now - START) * rate.get(name));
                if (leases.get(name).isValid(own) && active.get(name) < done) {
                    wrong.add(name + " acts on " + active.get(name) + " after " + done + " was done");
                }
            }
        }
        return wrong;
    }
}
