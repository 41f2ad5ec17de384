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
 * Runs a scenario once to count its fail points, then once for each fault at each of them, then for pairs drawn by
 * seed. Checks after each run what must hold: members agree, nothing acknowledged is lost, one leader a term, and the
 * group makes progress. Deterministic by seed.
 */
public final class FaultSweep {
    /** By then messages that were late have arrived and members that stood still have woken. */
    private static final long SETTLE_MICROS = 11_000_000;

    private static final int REVIVE_EVERY_STEPS = 100;

    /** What members do wrong in a test of the sweep itself. */
    public enum SeededBug {
        /** Nothing. */
        NONE,
        /** The disk reports a force that it has not done: all is acknowledged before it is forced. */
        ACK_BEFORE_FORCE,
        /** Records without a command (a vote, a term) are not forced. */
        VOTE_NOT_FORCED,
        /** A file replaces another before it was forced. */
        RENAME_WITHOUT_FORCE
    }

    /**
     * One run of a scenario.
     *
     * @param faults that were planned for it
     * @param violations what it broke
     * @param hung whether the group made no progress after all faults had been repaired
     * @param reachedSteps the steps at its fail points, in order
     */
    public record Run(
            Scenario scenario,
            long seed,
            List<PlannedFault> faults,
            List<String> violations,
            boolean hung,
            List<FailPoints.StepKind> reachedSteps) {
        /** Whether nothing was found. */
        public boolean isGood() {
            return violations.isEmpty() && !hung;
        }
    }

    /**
     * The sweep of one scenario.
     *
     * @param pointCount fail points of a run without faults
     * @param runCount runs with faults
     */
    public record Result(Scenario scenario, int pointCount, int runCount, List<Run> badRuns) {}

    private FaultSweep() {}

    /** The steps at the fail points of a run without faults. */
    public static List<FailPoints.StepKind> faultFreeSteps(Scenario scenario, long seed) {
        FailPoints points = new FailPoints();
        runOnce(scenario, seed, SeededBug.NONE, points, List.of());
        return points.reachedSteps();
    }

    /** One run with faults. */
    public static Run runOnce(Scenario scenario, long seed, SeededBug bug, List<PlannedFault> faults) {
        return runOnce(scenario, seed, bug, new FailPoints(faults.toArray(PlannedFault[]::new)), faults);
    }

    /** The same; {@code tracer} is given a line for each message. */
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
            hung = !settles(scenario, sim, clients);
            violations.addAll(sim.violations);
        } catch (IOException | RuntimeException e) {
            violations.add(e + " at " + e.getStackTrace()[0]);
        }
        return new Run(scenario, seed, faults, violations, hung, List.copyOf(points.reachedSteps()));
    }

    /** Repairs all faults, starts what is down, and waits until a new change is committed and all members have all. */
    private static boolean settles(Scenario scenario, Simulation sim, SimulatedClients clients) throws IOException {
        sim.restoreNetwork();
        sim.run(SETTLE_MICROS);
        restartStopped(sim);
        if (!makesProgress(sim, clients) || !scenario.settle(sim)) {
            return false;
        }
        List<SimulatedMember> remaining =
                sim.members.stream().filter(scenario::remainsMember).toList();
        boolean same = sim.runUntil(() -> remaining.stream().allMatch(clients::caughtUp));
        remaining.forEach(clients::checkAcknowledged);
        return same;
    }

    private static boolean makesProgress(Simulation sim, SimulatedClients clients) {
        int before = clients.acknowledgedDigests.size();
        AtomicInteger steps = new AtomicInteger();
        return sim.runUntil(() -> {
            if (steps.incrementAndGet() % REVIVE_EVERY_STEPS == 0) {
                restartStopped(sim);
            }
            Scenario.putAndReadAtLeader(sim, clients);
            return clients.acknowledgedDigests.size() > before;
        });
    }

    /** Restarts members that are down or have stopped for a fault of their disk. */
    private static void restartStopped(Simulation sim) {
        for (SimulatedMember member : sim.members) {
            boolean expected = member.number < sim.founders.size() || member.started;
            if (member.replica != null && member.stopReason != null) {
                member.kill();
            }
            if (expected && member.replica == null) {
                Scenario.start(member);
            }
        }
    }

    /** Sweeps one scenario, on all cores; {@code pairCount} pairs of points are drawn by the seed. */
    public static Result sweep(Scenario scenario, long seed, SeededBug bug, int pairCount) {
        List<FailPoints.StepKind> steps = faultFreeSteps(scenario, seed);
        List<PlannedFault> single = FailPoints.allSingleFaults(steps);
        List<List<PlannedFault>> pairs = drawPairs(single, seed, pairCount);
        List<Run> bad = Stream.concat(single.stream().map(List::of), pairs.stream()).toList().parallelStream()
                .map(faults -> runOnce(scenario, seed, bug, faults))
                .filter(run -> !run.isGood())
                .toList();
        return new Result(scenario, steps.size(), single.size() + pairs.size(), bad);
    }

    private static List<List<PlannedFault>> drawPairs(List<PlannedFault> single, long seed, int count) {
        Random random = new Random(seed);
        List<List<PlannedFault>> pairs = new ArrayList<>();
        for (int i = 0; i < count && !single.isEmpty(); i++) {
            PlannedFault first = single.get(random.nextInt(single.size()));
            PlannedFault second = single.get(random.nextInt(single.size()));
            if (first.point() != second.point()) {
                pairs.add(List.of(first, second));
            }
        }
        return pairs;
    }
}
