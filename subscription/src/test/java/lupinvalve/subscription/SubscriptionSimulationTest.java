package lupinvalve.subscription;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import lupinvalve.audit.Lease;
import lupinvalve.subscription.SimulatedGroup.PlantedFault;
import org.junit.jupiter.api.Test;

/**
 * Random faults in virtual time: no subscriber that may act uses an outdated or uncommitted state, and all subscribers
 * are healthy soon after the faults.
 */
class SubscriptionSimulationTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long FAULT_PHASE_MICROS = 14 * SECOND_MICROS;
    private static final long RECOVERY_MICROS = 10 * SECOND_MICROS;
    private static final long FAULT_MAX_MICROS = 12 * SECOND_MICROS;
    private static final long CHECK_INTERVAL_MICROS = 20_000;
    private static final int RUNS_COUNT = 1_000;
    private static final int SUBSCRIBERS_COUNT = 8;
    private static final int LARGE_RUNS_COUNT = 6;
    private static final int LARGE_SUBSCRIBERS_COUNT = 200;
    private static final int CHANGES_COUNT = 16;

    private static SimulatedGroup run(long seed, int subscriberCount, PlantedFault planted) {
        VirtualNetwork network = new VirtualNetwork(seed);
        SimulatedGroup group = new SimulatedGroup(network, subscriberCount, planted);
        SimulatedFaults faults = new SimulatedFaults(network, group);
        Random random = network.random;
        group.checkPeriodically(CHECK_INTERVAL_MICROS);
        group.setCorruptionRatio(random.nextBoolean() ? 0.05 : 0);
        for (int i = 0; i < CHANGES_COUNT; i++) {
            boolean drain = random.nextInt(4) == 0;
            boolean strict = random.nextInt(3) == 0;
            network.runAt((long) (random.nextDouble() * FAULT_PHASE_MICROS), () -> group.commit(drain, strict));
        }
        for (int i = random.nextInt(7); i > 0; i--) {
            scheduleFault(network, faults);
        }
        network.advanceTo(FAULT_PHASE_MICROS);
        faults.heal();
        network.advanceTo(FAULT_PHASE_MICROS + RECOVERY_MICROS - SECOND_MICROS);
        group.commit(false, false);
        network.advanceTo(FAULT_PHASE_MICROS + RECOVERY_MICROS + 6 * SECOND_MICROS);
        return group;
    }

    private static void scheduleFault(VirtualNetwork network, SimulatedFaults faults) {
        Random random = network.random;
        int kind = random.nextInt(8);
        // Leases matter most in long partitions in which subscribers stay with the partitioned member.
        double ratio = kind == 2 ? random.nextDouble() : random.nextDouble() * random.nextDouble();
        long durationMicros = (long) (ratio * FAULT_MAX_MICROS);
        network.runAt((long) (random.nextDouble() * FAULT_PHASE_MICROS), () -> {
            switch (kind) {
                case 0, 1 -> faults.blockOneWay(durationMicros);
                case 2 -> faults.partition(durationMicros);
                case 3 -> faults.pauseMember(durationMicros);
                case 4 -> faults.pauseSubscriber(durationMicros);
                case 5 -> faults.restartMember(durationMicros);
                case 6 -> faults.restartSubscribers(random.nextDouble());
                default -> faults.lag(durationMicros);
            }
        });
    }

    @Test
    void noSubscriberActsOnAnOutdatedOrUncommittedState() {
        Set<String> findings = new TreeSet<>();
        long updateCount = 0;
        long strictDoneCount = 0;
        long corruptionCount = 0;
        long latestMicros = 0;
        for (int seed = 0; seed < RUNS_COUNT + LARGE_RUNS_COUNT; seed++) {
            SimulatedGroup group =
                    run(seed, seed < RUNS_COUNT ? SUBSCRIBERS_COUNT : LARGE_SUBSCRIBERS_COUNT, PlantedFault.NONE);
            for (String finding : group.findings()) {
                findings.add("seed " + seed + ": " + finding);
            }
            List<String> unhealthy = group.unhealthy();
            if (!unhealthy.isEmpty()) {
                findings.add("seed " + seed + ": not healthy after the faults: " + unhealthy);
            }
            updateCount += group.updateCount();
            strictDoneCount += group.strictDoneCount();
            corruptionCount += group.corruptionCount();
            latestMicros = Math.max(latestMicros, group.latestUnappliedMicros());
        }
        assertEquals(Set.of(), findings);
        // One lease duration until the member knows the change, the time to catch up, and one lease duration until the
        // subscriber's lease ends; with clocks that drift.
        double boundMicros =
                2 * Lease.DURATION_MICROS * (1 + 2 * Lease.MAX_CLOCK_DRIFT_RATIO) + SubscriberLeases.CATCH_UP_MICROS;
        assertTrue(latestMicros > 3 * SECOND_MICROS && latestMicros < boundMicros, latestMicros + " us");
        assertTrue(
                updateCount > 50_000 && strictDoneCount > 1_000 && corruptionCount > 100,
                updateCount + " updates, " + strictDoneCount + " strict, " + corruptionCount + " corruptions");
    }

    /** Whether a run with the planted fault has a finding with the given text. */
    private static boolean finds(PlantedFault planted, String findingText) {
        for (int seed = 0; seed < RUNS_COUNT; seed++) {
            if (run(seed, SUBSCRIBERS_COUNT, planted).findings().stream()
                    .anyMatch(finding -> finding.contains(findingText))) {
                return true;
            }
        }
        return false;
    }

    @Test
    void theCheckerDetectsPlantedFaults() {
        assertTrue(finds(PlantedFault.LEASE_COUNTED_FROM_RESPONSE, "strict"), "lease counted from its response");
        assertTrue(finds(PlantedFault.DIGEST_UNCHECKED, "was never committed"), "digest not checked");
        assertTrue(
                finds(PlantedFault.GRANTS_PAST_OWN_LEASE, "late"),
                "leases granted past the end of the member's own lease");
        assertTrue(finds(PlantedFault.LEADER_INDEX_IGNORED, "late"), "index of the leader ignored");
        assertTrue(finds(PlantedFault.ADMITS_LAGGING_SUBSCRIBER, "strict"), "lease granted to a lagging subscriber");
    }
}
