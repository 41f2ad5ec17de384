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
    private static final long MICROS_PER_MILLI = 1000;
    private static final long START_MICROS = 1_000_000_000L;

    @Test
    void aLeaseStartsBeforeItsRequestAndEndsEarlyByTheMaxDrift() {
        Lease lease = new Lease(START_MICROS);
        assertFalse(lease.isValid(START_MICROS));
        lease.onGranted(START_MICROS, Lease.DURATION_MICROS);
        assertTrue(lease.isValid(START_MICROS + Lease.DURATION_MICROS - 11 * MICROS_PER_MILLI));
        assertFalse(lease.isValid(START_MICROS + Lease.DURATION_MICROS - 10 * MICROS_PER_MILLI), "ends 0.5 % early");
        lease.onGranted(START_MICROS - 500 * MICROS_PER_MILLI, Lease.DURATION_MICROS);
        assertTrue(
                lease.isValid(START_MICROS + Lease.DURATION_MICROS - 11 * MICROS_PER_MILLI),
                "an older grant does not shorten the lease");
    }

    @Test
    void aStrictChangeIsDoneOnceAllHaveAppliedItOrTheirLeasesHaveEnded() {
        LeaseManager leases = new LeaseManager(START_MICROS, 0);
        long later = START_MICROS + 3_000 * MICROS_PER_MILLI;
        List<String> poolers = List.of("a", "b", "c");
        for (String pooler : poolers) {
            assertEquals(
                    Lease.DURATION_MICROS, leases.renew(pooler, 10, "", later).durationMicros());
        }
        leases.requireIndex(11, later);
        assertEquals(poolers, leases.pendingPoolers(11, poolers, later));
        leases.renew("a", 11, "", later + 100 * MICROS_PER_MILLI);
        leases.renew("b", 11, "", later + 200 * MICROS_PER_MILLI);
        assertEquals(List.of("c"), leases.pendingPoolers(11, poolers, later + 200 * MICROS_PER_MILLI));
        assertEquals(
                List.of("c"),
                leases.pendingPoolers(11, poolers, later + Lease.DURATION_MICROS + 9 * MICROS_PER_MILLI),
                "its clock may be slow, so its lease may still be valid");
        assertEquals(
                List.of(), leases.pendingPoolers(11, poolers, later + Lease.DURATION_MICROS + 11 * MICROS_PER_MILLI));
        assertEquals(
                Map.of("c", "not heard of, its lease has ended"),
                leases.excludedPoolers(poolers, later + Lease.DURATION_MICROS + 11 * MICROS_PER_MILLI));
    }

    @Test
    void aNewLeaderWaitsForLeasesOfThePreviousLeader() {
        LeaseManager leases = new LeaseManager(START_MICROS, 0);
        assertEquals(List.of("a"), leases.pendingPoolers(5, List.of("a"), START_MICROS + 1_900 * MICROS_PER_MILLI));
        leases.renew("a", 4, "", START_MICROS + 100 * MICROS_PER_MILLI);
        assertEquals(List.of("a"), leases.pendingPoolers(5, List.of("a"), START_MICROS + 1_900 * MICROS_PER_MILLI));
        assertEquals(List.of(), leases.pendingPoolers(5, List.of("b"), START_MICROS + 2_011 * MICROS_PER_MILLI));
    }

    @Test
    void aLaggingPoolerIsExcludedUntilItHasKeptUpForAWhile() {
        LeaseManager leases = new LeaseManager(START_MICROS, 0);
        leases.renew("a", 10, "", START_MICROS);
        leases.requireIndex(11, START_MICROS + MICROS_PER_MILLI);
        assertTrue(
                leases.renew("a", 10, "", START_MICROS + 400 * MICROS_PER_MILLI).durationMicros() > 0,
                "it has time to catch up");
        assertEquals(
                "acts on change 10, 11 is wanted",
                leases.renew("a", 10, "", START_MICROS + 600 * MICROS_PER_MILLI).reason());
        assertEquals(
                0,
                leases.renew("a", 11, "", START_MICROS + 700 * MICROS_PER_MILLI).durationMicros(),
                "readmission is delayed");
        assertEquals(
                Lease.DURATION_MICROS,
                leases.renew("a", 11, "", START_MICROS + 1_400 * MICROS_PER_MILLI)
                        .durationMicros());
        leases.requireIndex(12, START_MICROS + 1_500 * MICROS_PER_MILLI);
        assertEquals(
                "it can't be read",
                leases.renew("a", 11, "it can't be read", START_MICROS + 1_600 * MICROS_PER_MILLI)
                        .reason());
        leases.renew("a", 12, "", START_MICROS + 1_700 * MICROS_PER_MILLI);
        assertEquals(
                0,
                leases.renew("a", 12, "", START_MICROS + 2_500 * MICROS_PER_MILLI)
                        .durationMicros(),
                "readmission takes longer after the second exclusion");
        assertEquals(
                Lease.DURATION_MICROS,
                leases.renew("a", 12, "", START_MICROS + 3_000 * MICROS_PER_MILLI)
                        .durationMicros());
    }

    @Test
    void aPoolerWithoutALeaseMustApplyChangesReportedAsDone() {
        LeaseManager leases = new LeaseManager(START_MICROS, 10);
        assertEquals(
                0,
                leases.renew("a", 9, "", START_MICROS + MICROS_PER_MILLI).durationMicros(),
                "the previous leader may have reported 10 as done");
        assertEquals(
                Lease.DURATION_MICROS,
                leases.renew("a", 10, "", START_MICROS + 2 * MICROS_PER_MILLI).durationMicros());
        leases.requireIndex(11, START_MICROS + 5_000 * MICROS_PER_MILLI);
        assertEquals(
                List.of(),
                leases.pendingPoolers(11, List.of("a"), START_MICROS + 5_000 * MICROS_PER_MILLI),
                "its lease has ended, so it is not waited for");
        assertEquals(
                0,
                leases.renew("a", 10, "", START_MICROS + 5_100 * MICROS_PER_MILLI)
                        .durationMicros(),
                "it may no longer act on 10");
    }

    @Test
    void aPoolerThatCatchesUpAfterItsStartGetsALeaseAtOnce() {
        LeaseManager leases = new LeaseManager(START_MICROS, 0);
        leases.requireIndex(11, START_MICROS);
        assertEquals(
                0,
                leases.renew("a", 0, "", START_MICROS + 5_000 * MICROS_PER_MILLI)
                        .durationMicros());
        assertEquals(
                Lease.DURATION_MICROS,
                leases.renew("a", 11, "", START_MICROS + 5_100 * MICROS_PER_MILLI)
                        .durationMicros());
    }

    /**
     * Poolers whose clocks drift, with late and lost answers and changes of the leader: once a strict change is done,
     * no pooler with a valid lease acts on an older version.
     */
    @Test
    void noPoolerActsOnAnOlderVersionOnceAStrictChangeIsDone() {
        for (long seed = 0; seed < 2_000; seed++) {
            assertEquals(List.of(), simulate(seed, false), "seed " + seed);
        }
    }

    @Test
    void theSimulationDetectsALeaseCountedFromItsAnswer() {
        assertTrue(java.util.stream.LongStream.range(0, 500)
                .anyMatch(seed -> !simulate(seed, true).isEmpty()));
    }

    private static List<String> simulate(long seed, boolean fromAnswer) {
        Random random = new Random(seed);
        List<String> names = List.of("a", "b", "c", "d", "e");
        Map<String, Lease> leases = new TreeMap<>();
        Map<String, Long> activeIndexes = new TreeMap<>();
        Map<String, Double> clockRates = new TreeMap<>();
        names.forEach(name -> {
            leases.put(name, new Lease(START_MICROS));
            activeIndexes.put(name, 1L);
            clockRates.put(name, 1 + (random.nextDouble() - 0.5) * Lease.MAX_CLOCK_DRIFT_RATIO);
        });
        record Answer(long atMicros, String name, long requestedMicros, long durationMicros) {}
        List<Answer> answersInFlight = new ArrayList<>();
        List<String> violations = new ArrayList<>();
        LeaseManager leader = new LeaseManager(START_MICROS, 0);
        long index = 1;
        long doneIndex = 0;
        for (long now = START_MICROS; now < START_MICROS + 15_000 * MICROS_PER_MILLI; now += 50 * MICROS_PER_MILLI) {
            long atMicros = now;
            if (random.nextInt(80) == 0) {
                leader = new LeaseManager(now, index);
            }
            if (random.nextInt(60) == 0) {
                index++;
                leader.requireIndex(index, now);
            }
            for (String name : names) {
                long localMicros = (long) (START_MICROS + (now - START_MICROS) * clockRates.get(name));
                boolean reachable = random.nextInt(10) > (name.equals("e") ? 8 : 1);
                if (reachable && random.nextInt(4) == 0) {
                    activeIndexes.put(name, index);
                }
                if (reachable && random.nextInt(4) == 0) {
                    LeaseManager.Renewal renewal = leader.renew(name, activeIndexes.get(name), "", now);
                    long delayMicros = random.nextInt(5) == 0 ? random.nextInt(2500) * MICROS_PER_MILLI : 0;
                    answersInFlight.add(new Answer(now + delayMicros, name, localMicros, renewal.durationMicros()));
                }
            }
            answersInFlight.removeIf(answer -> {
                if (answer.atMicros() <= atMicros && answer.durationMicros() > 0) {
                    long localMicros =
                            (long) (START_MICROS + (atMicros - START_MICROS) * clockRates.get(answer.name()));
                    leases.get(answer.name())
                            .onGranted(fromAnswer ? localMicros : answer.requestedMicros(), answer.durationMicros());
                }
                return answer.atMicros() <= atMicros;
            });
            if (leader.pendingPoolers(index, names, now).isEmpty()) {
                doneIndex = index;
            }
            for (String name : names) {
                long localMicros = (long) (START_MICROS + (now - START_MICROS) * clockRates.get(name));
                if (leases.get(name).isValid(localMicros) && activeIndexes.get(name) < doneIndex) {
                    violations.add(name + " acts on " + activeIndexes.get(name) + " after " + doneIndex + " was done");
                }
            }
        }
        return violations;
    }
}
