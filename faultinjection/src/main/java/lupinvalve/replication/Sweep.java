package lupinvalve.replication;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import lupinvalve.faultinjection.HandOff;
import lupinvalve.faultinjection.Points;
import lupinvalve.faultinjection.Points.At;

/**
 * Plays a scenario once to count its points, then once for each fault at each of them, then for pairs drawn by seed,
 * and looks after each at what must hold: one history, nothing acknowledged lost, one leader a term, and a group that
 * goes on.
 */
public final class Sweep {
    /** What a test makes the members do wrong, to see the sweep find it. */
    public enum Planted {
        NONE,
        /** A disk that says it has forced what it has not: all is acknowledged before the force. */
        ACK_BEFORE_FORCE,
        /** Records that hold no change (a vote, a term) are not forced. */
        VOTE_NOT_FORCED,
        /** A file takes another's place before it was forced. */
        RENAME_WITHOUT_FORCE
    }

    /** One play: what it broke, and whether the group stood still for good. */
    public record Play(
            Scenario scenario, long seed, List<At> at, List<String> broken, boolean hung, List<Points.Kind> met) {
        public boolean good() {
            return broken.isEmpty() && !hung;
        }
    }

    /** What came of a scenario's sweep. */
    public record Result(Scenario scenario, int points, int runs, List<Play> bad) {}

    private Sweep() {}

    /** The kinds of the points that a scenario meets without a fault. */
    public static List<Points.Kind> course(Scenario scenario, long seed) {
        Points points = new Points();
        play(scenario, seed, Planted.NONE, points, List.of());
        return points.met();
    }

    /** One play with faults at the points named. */
    public static Play play(Scenario scenario, long seed, Planted planted, List<At> faults) {
        return play(scenario, seed, planted, new Points(faults.toArray(At[]::new)), faults);
    }

    /** The same, told step by step. */
    public static Play play(
            Scenario scenario, long seed, Planted planted, List<At> faults, java.util.function.Consumer<String> trace) {
        Points points = new Points(faults.toArray(At[]::new));
        points.trace(trace);
        return play(scenario, seed, planted, points, faults);
    }

    private static Play play(Scenario scenario, long seed, Planted planted, Points points, List<At> faults) {
        if (scenario == Scenario.HAND_OFF) {
            List<String> found = HandOff.play(points);
            return new Play(scenario, seed, faults, found, false, List.copyOf(points.met()));
        }
        boolean hung = false;
        List<String> broken = new ArrayList<>();
        try {
            points.count(scenario == Scenario.FOUNDING);
            Simulation sim = new Simulation(seed, scenario.founding, scenario.later, points, planted);
            Simulation.Clients clients = sim.new Clients();
            if (scenario != Scenario.FOUNDING) {
                sim.until(() -> sim.leader() != null);
                scenario.prepare(sim, clients);
            }
            points.count(true);
            scenario.play(sim, clients);
            points.count(false);
            hung = !settles(scenario, sim, clients);
            broken.addAll(sim.faults);
        } catch (IOException | RuntimeException e) {
            broken.add(e + " at " + e.getStackTrace()[0]);
        }
        return new Play(scenario, seed, faults, broken, hung, List.copyOf(points.met()));
    }

    /**
     * MicroRaftWorkarounds all faults, starts what is down, and waits until a new change is accepted and all members
     * have all.
     */
    private static boolean settles(Scenario scenario, Simulation sim, Simulation.Clients clients) throws IOException {
        sim.heal();
        sim.run(11_000_000);
        revive(sim);
        int before = clients.acknowledged.size();
        AtomicInteger turns = new AtomicInteger();
        boolean goesOn = sim.until(() -> {
            if (turns.incrementAndGet() % 100 == 0) {
                revive(sim);
            }
            Scenario.leading(sim, clients);
            return clients.acknowledged.size() > before;
        });
        if (!goesOn || !scenario.settle(sim)) {
            return false;
        }
        List<Simulation.Member> stay =
                sim.members.stream().filter(scenario::stays).toList();
        boolean same = sim.until(() -> stay.stream().allMatch(clients::caughtUp));
        stay.forEach(clients::check);
        return same;
    }

    /** Whoever is down, or has given up for a fault of its disk, starts again from what is on it. */
    private static void revive(Simulation sim) {
        for (Simulation.Member m : sim.members) {
            boolean expected = m.number < sim.founders.size() || m.started;
            if (m.replica != null && m.stopped != null) {
                m.kill();
            }
            if (expected && m.replica == null) {
                Scenario.begin(m);
            }
        }
    }

    /** The sweep of one scenario, on all cores; {@code pairs} of points are drawn by the seed. */
    public static Result run(Scenario scenario, long seed, Planted planted, int pairs) {
        List<Points.Kind> course = course(scenario, seed);
        List<At> all = Points.all(course);
        Random random = new Random(seed);
        Stream<List<At>> single = all.stream().map(List::of);
        List<List<At>> drawn = new ArrayList<>();
        for (int i = 0; i < pairs && !all.isEmpty(); i++) {
            At one = all.get(random.nextInt(all.size()));
            At other = all.get(random.nextInt(all.size()));
            if (one.point() != other.point()) {
                drawn.add(List.of(one, other));
            }
        }
        List<Play> bad = Stream.concat(single, drawn.stream()).toList().parallelStream()
                .map(faults -> play(scenario, seed, planted, faults))
                .filter(p -> !p.good())
                .toList();
        return new Result(scenario, course.size(), all.size() + drawn.size(), bad);
    }
}
