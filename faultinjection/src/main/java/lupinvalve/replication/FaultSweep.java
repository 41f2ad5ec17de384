package lupinvalve.replication;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import lupinvalve.faultinjection.FailPoints;
import lupinvalve.faultinjection.FailPoints.PlannedFault;
import lupinvalve.faultinjection.HotRestartScenario;

/**
 * Plays a scenario once to count its points, then once for each fault at each of them, then for pairs drawn by seed,
 * and looks after each at what must hold: one history, nothing acknowledged lost, one leader a term, and a group that
 * goes on.
 */
public final class FaultSweep {
    /** What a test makes the members do wrong, to see the sweep find it. */
    public enum SeededBug {
        NONE,
        /** A disk that says it has forced what it has not: all is acknowledged before the force. */
        ACK_BEFORE_FORCE,
        /** Records that hold no change (a vote, a term) are not forced. */
        VOTE_NOT_FORCED,
        /** A file takes another's place before it was forced. */
        RENAME_WITHOUT_FORCE
    }

    /** One play: what it broke, and whether the group stood still for good. */
    public record Run(
            Scenario scenario,
            long seed,
            List<PlannedFault> faults,
            List<String> violations,
            boolean hung,
            List<FailPoints.StepKind> reachedSteps) {
        public boolean isGood() {
            return violations.isEmpty() && !hung;
        }
    }

    /** What came of a scenario's sweep. */
    public record Result(Scenario scenario, int pointCount, int runCount, List<Run> badRuns) {}

    private FaultSweep() {}

    /** The kinds of the points that a scenario meets without a fault. */
    public static List<FailPoints.StepKind> faultFreeSteps(Scenario scenario, long seed) {
        FailPoints points = new FailPoints();
        runOnce(scenario, seed, SeededBug.NONE, points, List.of());
        return points.reachedSteps();
    }

    /** One play with faults at the points named. */
    public static Run runOnce(Scenario scenario, long seed, SeededBug planted, List<PlannedFault> faults) {
        return runOnce(scenario, seed, planted, new FailPoints(faults.toArray(PlannedFault[]::new)), faults);
    }

    /** The same, told step by step. */
    public static Run runOnce(
            Scenario scenario,
            long seed,
            SeededBug planted,
            List<PlannedFault> faults,
            java.util.function.Consumer<String> trace) {
        FailPoints points = new FailPoints(faults.toArray(PlannedFault[]::new));
        points.setTracer(trace);
        return runOnce(scenario, seed, planted, points, faults);
    }

    private static Run runOnce(
            Scenario scenario, long seed, SeededBug planted, FailPoints points, List<PlannedFault> faults) {
        if (scenario == Scenario.HOT_RESTART) {
            List<String> found = HotRestartScenario.run(points);
            return new Run(scenario, seed, faults, found, false, List.copyOf(points.reachedSteps()));
        }
        boolean hung = false;
        List<String> broken = new ArrayList<>();
        try {
            points.setEnabled(scenario == Scenario.BOOTSTRAP);
            Simulation sim = new Simulation(seed, scenario.founderCount, scenario.laterMemberCount, points, planted);
            Simulation.Clients clients = sim.new Clients();
            if (scenario != Scenario.BOOTSTRAP) {
                sim.runUntil(() -> sim.leader() != null);
                scenario.prepare(sim, clients);
            }
            points.setEnabled(true);
            scenario.play(sim, clients);
            points.setEnabled(false);
            hung = !settles(scenario, sim, clients);
            broken.addAll(sim.violations);
        } catch (IOException | RuntimeException e) {
            broken.add(e + " at " + e.getStackTrace()[0]);
        }
        return new Run(scenario, seed, faults, broken, hung, List.copyOf(points.reachedSteps()));
    }

    /**
     * MicroRaftWorkarounds all faults, starts what is down, and waits until a new change is accepted and all members
     * have all.
     */
    private static boolean settles(Scenario scenario, Simulation sim, Simulation.Clients clients) throws IOException {
        sim.restoreNetwork();
        sim.run(11_000_000);
        revive(sim);
        int before = clients.acknowledgedDigests.size();
        AtomicInteger turns = new AtomicInteger();
        boolean goesOn = sim.runUntil(() -> {
            if (turns.incrementAndGet() % 100 == 0) {
                revive(sim);
            }
            Scenario.putAndReadAtLeader(sim, clients);
            return clients.acknowledgedDigests.size() > before;
        });
        if (!goesOn || !scenario.settle(sim)) {
            return false;
        }
        List<Simulation.Member> stay =
                sim.members.stream().filter(scenario::remainsMember).toList();
        boolean same = sim.runUntil(() -> stay.stream().allMatch(clients::caughtUp));
        stay.forEach(clients::checkAcknowledged);
        return same;
    }

    /** Whoever is down, or has given up for a fault of its disk, starts again from what is on it. */
    private static void revive(Simulation sim) {
        for (Simulation.Member m : sim.members) {
            boolean expected = m.number < sim.founders.size() || m.started;
            if (m.replica != null && m.stopReason != null) {
                m.kill();
            }
            if (expected && m.replica == null) {
                Scenario.start(m);
            }
        }
    }

    /** The sweep of one scenario, on all cores; {@code pairs} of points are drawn by the seed. */
    public static Result sweep(Scenario scenario, long seed, SeededBug planted, int pairs) {
        List<FailPoints.StepKind> course = faultFreeSteps(scenario, seed);
        List<PlannedFault> all = FailPoints.allSingleFaults(course);
        Random random = new Random(seed);
        Stream<List<PlannedFault>> single = all.stream().map(List::of);
        List<List<PlannedFault>> drawn = new ArrayList<>();
        for (int i = 0; i < pairs && !all.isEmpty(); i++) {
            PlannedFault one = all.get(random.nextInt(all.size()));
            PlannedFault other = all.get(random.nextInt(all.size()));
            if (one.point() != other.point()) {
                drawn.add(List.of(one, other));
            }
        }
        List<Run> bad = Stream.concat(single, drawn.stream()).toList().parallelStream()
                .map(faults -> runOnce(scenario, seed, planted, faults))
                .filter(p -> !p.isGood())
                .toList();
        return new Result(scenario, course.size(), all.size() + drawn.size(), bad);
    }
}
