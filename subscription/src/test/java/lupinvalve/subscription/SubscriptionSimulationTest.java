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
 * Random faults in virtual time: no subscriber that may act has applied what is old or was never committed, and all are
 * healthy soon after the faults.
 */
class SubscriptionSimulationTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long FAULTS_MICROS = 14 * SECOND_MICROS;
    private static final long QUIET_MICROS = 10 * SECOND_MICROS;
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
        group.checkEach(CHECK_INTERVAL_MICROS);
        group.corrupt(random.nextBoolean() ? 0.05 : 0);
        for (int i = 0; i < CHANGES_COUNT; i++) {
            boolean drain = random.nextInt(4) == 0;
            boolean strict = random.nextInt(3) == 0;
            network.runAt((long) (random.nextDouble() * FAULTS_MICROS), () -> group.commit(drain, strict));
        }
        for (int i = random.nextInt(7); i > 0; i--) {
            scheduleFault(network, faults);
        }
        network.advanceTo(FAULTS_MICROS);
        faults.heal();
        network.advanceTo(FAULTS_MICROS + QUIET_MICROS - SECOND_MICROS);
        group.commit(false, false);
        network.advanceTo(FAULTS_MICROS + QUIET_MICROS + 6 * SECOND_MICROS);
        return group;
    }

    private static void scheduleFault(VirtualNetwork network, SimulatedFaults faults) {
        Random random = network.random;
        int kind = random.nextInt(8);
        // Long partitions, with subscribers that stay at the member, are what leases are for.
        double ratio = kind == 2 ? random.nextDouble() : random.nextDouble() * random.nextDouble();
        long forMicros = (long) (ratio * FAULT_MAX_MICROS);
        network.runAt((long) (random.nextDouble() * FAULTS_MICROS), () -> {
            switch (kind) {
                case 0, 1 -> faults.blockOneWay(forMicros);
                case 2 -> faults.partition(forMicros);
                case 3 -> faults.pauseMember(forMicros);
                case 4 -> faults.pauseSubscriber(forMicros);
                case 5 -> faults.restartMember(forMicros);
                case 6 -> faults.restartSubscribers(random.nextDouble());
                default -> faults.lag(forMicros);
            }
        });
    }

    @Test
    void nobodyActsOnWhatIsOldOrWasNeverCommitted() {
        Set<String> findings = new TreeSet<>();
        long updates = 0;
        long strict = 0;
        long corruptions = 0;
        long latestMicros = 0;
        for (int seed = 0; seed < RUNS_COUNT + LARGE_RUNS_COUNT; seed++) {
            SimulatedGroup group =
                    run(seed, seed < RUNS_COUNT ? SUBSCRIBERS_COUNT : LARGE_SUBSCRIBERS_COUNT, PlantedFault.NONE);
            for (String finding : group.findings()) {
                findings.add("seed " + seed + ": " + finding);
            }
            List<String> unhealthy = group.unhealthy();
            if (!unhealthy.isEmpty()) {
                findings.add("seed " + seed + ": not healthy in the end: " + unhealthy);
            }
            updates += group.updateCount();
            strict += group.strictDoneCount();
            corruptions += group.corruptionCount();
            latestMicros = Math.max(latestMicros, group.latestUnappliedMicros());
        }
        assertEquals(Set.of(), findings);
        // A lease's length until the member knows, the time to catch up, a lease's length again; with clocks that
        // drift.
        double boundMicros =
                2 * Lease.DURATION_MICROS * (1 + 2 * Lease.MAX_CLOCK_DRIFT_RATIO) + SubscriberLeases.CATCH_UP_MICROS;
        assertTrue(latestMicros > 3 * SECOND_MICROS && latestMicros < boundMicros, latestMicros + " us");
        assertTrue(
                updates > 50_000 && strict > 1_000 && corruptions > 100,
                updates + " updates, " + strict + " strict, " + corruptions + " corruptions");
    }

    /** Whether one of the first runs finds a planted fault. */
    private static boolean finds(PlantedFault planted, String what) {
        for (int seed = 0; seed < RUNS_COUNT; seed++) {
            if (run(seed, SUBSCRIBERS_COUNT, planted).findings().stream().anyMatch(finding -> finding.contains(what))) {
                return true;
            }
        }
        return false;
    }

    @Test
    void theCheckerFindsPlantedFaults() {
        assertTrue(finds(PlantedFault.LEASE_COUNTED_FROM_RESPONSE, "strict"), "a lease counted from its response");
        assertTrue(finds(PlantedFault.DIGEST_UNCHECKED, "nobody accepted"), "a digest that is not checked");
        assertTrue(finds(PlantedFault.GRANTS_PAST_OWN_LEASE, "late"), "a member that grants past its own lease");
        assertTrue(finds(PlantedFault.LEADER_INDEX_IGNORED, "late"), "a member that does not know what the leader has");
        assertTrue(finds(PlantedFault.ADMITS_LAGGING_SUBSCRIBER, "strict"), "a lease for one that has not caught up");
    }
}
