package lupinvalve.replication;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.Stream;
import lupinvalve.faultinjection.FailPoints;
import lupinvalve.faultinjection.FailPoints.PlannedFault;
import lupinvalve.faultinjection.HotRestartScenario;

/**
 * Runs a scenario once to count its fail points, then once for each fault at each point, then for pairs of faults drawn
 * by the seed. Checks after each run that members agree, that nothing acknowledged is lost, that each term has one
 * leader at most, and that the group makes progress. Deterministic by seed.
 */
public final class FaultSweep {
    /** Longer than the delay of a late message (2 s) and the pause of a stopped process (10 s). */
    private static final long SETTLE_MICROS = 11_000_000;

    private static final int RESTART_INTERVAL_STEPS = 100;

    /** A bug planted in the members' disks, to test that the sweep detects it. */
    public enum SeededBug {
        /** No bug. */
        NONE,
        /** The disk reports every force as done without doing it, so data is acknowledged before it is durable. */
        ACK_BEFORE_FORCE,
        /** Records without a command, such as votes and terms, are not forced. */
        VOTE_NOT_FORCED,
        /** A file replaces another one before it is forced. */
        RENAME_WITHOUT_FORCE
    }

    /**
     * One run of a scenario.
     *
     * @param faults the faults planned for the run
     * @param violations what was violated, in the order in which it was found
     * @param hung whether the group failed to make progress, or members to catch up, after all faults were repaired
     * @param reachedSteps step kinds of the fail points reached, in order
     */
    public record Run(
            Scenario scenario,
            long seed,
            List<PlannedFault> faults,
            List<String> violations,
            boolean hung,
            List<FailPoints.StepKind> reachedSteps) {
        /** Whether the run had no violation and did not hang. */
        public boolean isGood() {
            return violations.isEmpty() && !hung;
        }
    }

    /**
     * The sweep of one scenario.
     *
     * @param pointCount number of fail points in a run without faults
     * @param runCount number of runs with faults
     */
    public record Result(Scenario scenario, int pointCount, int runCount, List<Run> badRuns) {}

    private FaultSweep() {}

    /** Step kinds of the fail points of a run without faults, in order. */
    public static List<FailPoints.StepKind> faultFreeSteps(Scenario scenario, long seed) {
        FailPoints points = new FailPoints();
        runOnce(scenario, seed, SeededBug.NONE, points, List.of());
        return points.reachedSteps();
    }

    /** Runs a scenario once with faults. */
    public static Run runOnce(Scenario scenario, long seed, SeededBug bug, List<PlannedFault> faults) {
        return runOnce(scenario, seed, bug, new FailPoints(faults.toArray(PlannedFault[]::new)), faults);
    }

    /** Runs a scenario once with faults; {@code tracer} receives one line per message. */
    public static Run runOnce(
            Scenario scenario, long seed, SeededBug bug, List<PlannedFault> faults, Consumer<String> tracer) {
        FailPoints points = new FailPoints(faults.toArray(PlannedFault[]::new));
        points.setTracer(tracer);
        return runOnce(scenario, seed, bug, points, faults);
    }

    private static Run runOnce(
            Scenario scenario, long seed, SeededBug bug, FailPoints points, List<PlannedFault> faults) {
        if (scenario == Scenario.HOT_RESTART) {
            List<String> violations = HotRestartScenario.run(points);
            return new Run(scenario, seed, faults, violations, false, List.copyOf(points.reachedSteps()));
        }
        boolean hung = false;
        List<String> violations = new ArrayList<>();
        try {
            points.setEnabled(scenario == Scenario.BOOTSTRAP);
            Simulation sim = new Simulation(seed, scenario.founderCount, scenario.laterMemberCount, points, bug);
            SimulatedClients clients = new SimulatedClients(sim);
            if (scenario != Scenario.BOOTSTRAP) {
                sim.runUntil(() -> sim.leader() != null);
                scenario.prepare(sim, clients);
            }
            points.setEnabled(true);
            scenario.run(sim, clients);
            points.setEnabled(false);
            hung = !recovers(scenario, sim, clients);
            violations.addAll(sim.violations);
        } catch (IOException | RuntimeException e) {
            violations.add(e + " at " + e.getStackTrace()[0]);
        }
        return new Run(scenario, seed, faults, violations, hung, List.copyOf(points.reachedSteps()));
    }

    /**
     * Repairs all faults, restarts members and waits for a new change and for all members to catch up; false if not.
     */
    private static boolean recovers(Scenario scenario, Simulation sim, SimulatedClients clients) throws IOException {
        sim.restoreNetwork();
        sim.run(SETTLE_MICROS);
        restartStopped(sim);
        if (!makesProgress(sim, clients) || !scenario.settle(sim)) {
            return false;
        }
        List<SimulatedMember> remaining =
                sim.members.stream().filter(scenario::remainsMember).toList();
        boolean allCaughtUp = sim.runUntil(() -> remaining.stream().allMatch(clients::caughtUp));
        remaining.forEach(clients::checkAcknowledged);
        return allCaughtUp;
    }

    /** Whether a new configuration is acknowledged within the time limit; restarts stopped members repeatedly. */
    private static boolean makesProgress(Simulation sim, SimulatedClients clients) {
        int acknowledgedBefore = clients.acknowledgedDigests.size();
        AtomicInteger waitSteps = new AtomicInteger();
        return sim.runUntil(() -> {
            if (waitSteps.incrementAndGet() % RESTART_INTERVAL_STEPS == 0) {
                restartStopped(sim);
            }
            Scenario.putAndReadAtLeader(sim, clients);
            return clients.acknowledgedDigests.size() > acknowledgedBefore;
        });
    }

    /** Restarts members that are down or whose replica has terminated after a disk failure. */
    private static void restartStopped(Simulation sim) {
        for (SimulatedMember member : sim.members) {
            boolean shouldRun = member.number < sim.founders.size() || member.started;
            if (member.replica != null && member.stopReason != null) {
                member.kill();
            }
            if (shouldRun && member.replica == null) {
                Scenario.start(member);
            }
        }
    }

    /**
     * Sweeps one scenario on all cores; draws {@code pairCount} pairs and skips those with both faults at one point.
     */
    public static Result sweep(Scenario scenario, long seed, SeededBug bug, int pairCount) {
        List<FailPoints.StepKind> steps = faultFreeSteps(scenario, seed);
        List<PlannedFault> singleFaults = FailPoints.allSingleFaults(steps);
        List<List<PlannedFault>> pairs = drawPairs(singleFaults, seed, pairCount);
        List<Run> badRuns = Stream.concat(singleFaults.stream().map(List::of), pairs.stream()).toList().parallelStream()
                .map(faults -> runOnce(scenario, seed, bug, faults))
                .filter(run -> !run.isGood())
                .toList();
        return new Result(scenario, steps.size(), singleFaults.size() + pairs.size(), badRuns);
    }

    private static List<List<PlannedFault>> drawPairs(List<PlannedFault> singleFaults, long seed, int count) {
        Random random = new Random(seed);
        List<List<PlannedFault>> pairs = new ArrayList<>();
        for (int i = 0; i < count && !singleFaults.isEmpty(); i++) {
            PlannedFault first = singleFaults.get(random.nextInt(singleFaults.size()));
            PlannedFault second = singleFaults.get(random.nextInt(singleFaults.size()));
            if (first.point() != second.point()) {
                pairs.add(List.of(first, second));
            }
        }
        return pairs;
    }
}
