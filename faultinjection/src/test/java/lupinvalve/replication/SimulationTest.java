package lupinvalve.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import lupinvalve.log.Log;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.MembershipChange;
import lupinvalve.statemachine.ReplicatedState;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** The group under faults, in virtual time: kills, cuts, pauses, full and lying disks, changes of members. */
class SimulationTest {
    private static final int SCHEDULES = 4000;

    @BeforeAll
    static void quiet() {
        Log.setLevel(Log.Level.ERROR);
        Log.setOutput(new java.io.PrintStream(java.io.OutputStream.nullOutputStream()));
    }

    @org.junit.jupiter.api.AfterAll
    static void loud() {
        Log.setOutput(System.err);
    }

    /** One course of random faults; gives what was wrong. */
    private static List<String> schedule(long seed, boolean lying) {
        try {
            Simulation sim = new Simulation(seed, seed % 3 == 0 ? 5 : 3, 0);
            SimulatedClients clients = new SimulatedClients(sim);
            sim.forEachMember(
                    m -> m.disk.seededBug = lying ? FaultSweep.SeededBug.ACK_BEFORE_FORCE : FaultSweep.SeededBug.NONE);
            for (int step = 0; step < 60; step++) {
                switch (sim.random.nextInt(12)) {
                    case 0 -> fault(sim);
                    case 1 -> sim.restoreNetwork();
                    case 2 -> {
                        for (SimulatedMember m : sim.members) {
                            if (m.replica == null) {
                                m.start();
                            }
                        }
                    }
                    default -> {
                        sim.forEachMember(m -> {
                            if (m.isRunning() && m.replica.isLeader()) {
                                clients.put(m);
                                clients.read(m);
                            }
                        });
                    }
                }
                sim.run(20_000 + sim.random.nextInt(150_000));
            }
            sim.restoreNetwork();
            for (SimulatedMember m : sim.members) {
                if (m.replica == null) {
                    m.start();
                }
            }
            int before = clients.acknowledgedDigests.size();
            boolean settled = sim.runUntil(() -> {
                if (sim.leader() != null) {
                    clients.put(sim.leader());
                }
                return clients.acknowledgedDigests.size() > before;
            });
            if (!settled) {
                sim.violations.add("nothing was accepted after all was healed");
            } else {
                // Those that were still asleep catch up as well.
                sim.runUntil(() -> sim.members.stream().allMatch(clients::caughtUp));
                sim.forEachMember(clients::checkAcknowledged);
            }
            return sim.violations;
        } catch (IOException | RuntimeException e) {
            return List.of("seed " + seed + ": " + e);
        }
    }

    private static void fault(Simulation sim) {
        SimulatedMember one = sim.randomMember();
        SimulatedMember other = sim.randomMember();
        switch (sim.random.nextInt(6)) {
            case 0 -> one.kill();
            case 1 -> sim.linkDown[one.number][other.number] = true;
            case 2 -> sim.forEachMember(m -> {
                sim.linkDown[m.number][one.number] = true;
                sim.linkDown[one.number][m.number] = true;
            });
            case 3 -> one.pausedUntilMicros = sim.nowMicros + 10_000_000;
            case 4 -> sim.messageLossRatio = 0.3;
            default -> {
                // The leader, while its changes are on their way.
                SimulatedMember leader = sim.leader();
                if (leader != null) {
                    leader.kill();
                }
            }
        }
    }

    @Test
    void noCourseOfFaultsLosesOrDivides() {
        List<String> faults = IntStream.range(0, SCHEDULES)
                .parallel()
                .boxed()
                .flatMap(seed -> schedule(seed, false).stream().map(fault -> seed + ": " + fault))
                .toList();
        assertEquals(List.of(), faults);
    }

    @Test
    void disksThatOnlySayThatTheyForceAreFoundOut() {
        assertTrue(IntStream.range(0, 60).parallel().anyMatch(seed -> !schedule(seed, true)
                .isEmpty()));
    }

    @Test
    void theSameSeedIsTheSameCourse() throws IOException {
        for (int seed = 0; seed < 3; seed++) {
            Simulation one = new Simulation(seed, 3, 0);
            Simulation two = new Simulation(seed, 3, 0);
            for (Simulation sim : List.of(one, two)) {
                SimulatedClients clients = new SimulatedClients(sim);
                for (int i = 0; i < 50; i++) {
                    sim.forEachMember(clients::put);
                    sim.run(50_000);
                }
            }
            assertEquals(one.committedDigests, two.committedDigests);
            assertFalse(one.committedDigests.isEmpty());
        }
    }

    private static Simulation led(int founding, int later) throws IOException {
        Simulation sim = new Simulation(7, founding, later);
        assertTrue(sim.runUntil(() -> sim.leader() != null));
        return sim;
    }

    private static RaftReplica.Completion put(Simulation sim, SimulatedMember at, long expected, String text) {
        AtomicReference<RaftReplica.Completion> got = new AtomicReference<>();
        AtomicReference<ReplicatedState.Outcome> outcome = new AtomicReference<>();
        at.replica.propose(new Command.PutDocument(expected, Simulation.document(text)), (fate, result) -> {
            outcome.set(result);
            got.set(fate);
        });
        sim.runUntil(() -> got.get() != null);
        return got.get() == RaftReplica.Completion.DONE && outcome.get().result() != ReplicatedState.Result.APPLIED
                ? null
                : got.get();
    }

    @Test
    void aLeaderAloneDecidesNothingAndKnowsItSoon() throws IOException {
        Simulation sim = led(3, 0);
        SimulatedMember old = sim.leader();
        assertEquals(RaftReplica.Completion.DONE, put(sim, old, 0, "{}"));
        sim.forEachMember(m -> {
            if (m != old) {
                sim.linkDown[m.number][old.number] = true;
                sim.linkDown[old.number][m.number] = true;
            }
        });
        AtomicReference<RaftReplica.Completion> lost = new AtomicReference<>();
        AtomicReference<RaftReplica.Completion> read = new AtomicReference<>();
        old.replica.propose(
                new Command.PutDocument(1, Simulation.document("{\"a\":1}")), (fate, outcome) -> lost.set(fate));
        old.replica.readBarrier((fate, ok) -> read.set(fate));
        assertTrue(sim.runUntil(() -> sim.members.stream().anyMatch(m -> m != old && m.replica.isLeader())));
        sim.run(2_000_000);
        assertFalse(old.replica.isLeader());
        assertTrue(read.get() != RaftReplica.Completion.DONE && lost.get() != RaftReplica.Completion.DONE);
        assertEquals(RaftReplica.Completion.DONE, put(sim, sim.leader(), 1, "{\"b\":1}"));
        sim.restoreNetwork();
        sim.run(3_000_000);
        assertEquals(RaftReplica.Completion.INDETERMINATE, lost.get());
        assertEquals(List.of(), sim.violations);
        assertEquals(
                old.replica.state().document().digest(),
                sim.leader().replica.state().document().digest());
    }

    @Test
    void ofTwoOperatorsWhoReplaceOneRevisionOneIsTurnedDown() throws IOException {
        Simulation sim = led(3, 0);
        AtomicReference<ReplicatedState.Outcome> first = new AtomicReference<>();
        AtomicReference<ReplicatedState.Outcome> second = new AtomicReference<>();
        sim.leader()
                .replica
                .propose(
                        new Command.PutDocument(0, Simulation.document("{\"a\":1}")),
                        (f, outcome) -> first.set(outcome));
        sim.leader()
                .replica
                .propose(
                        new Command.PutDocument(0, Simulation.document("{\"b\":1}")),
                        (f, outcome) -> second.set(outcome));
        sim.runUntil(() -> first.get() != null && second.get() != null);
        assertEquals(ReplicatedState.Result.APPLIED, first.get().result());
        assertEquals(ReplicatedState.Result.CONFLICT, second.get().result());
        assertEquals(1, second.get().revision());
    }

    @Test
    void aDiskThatIsFullStepsDownAndTheOthersGoOn() throws IOException {
        Simulation sim = led(3, 0);
        SimulatedMember old = sim.leader();
        old.disk.freeBytes = 30;
        assertTrue(put(sim, old, 0, "{\"long\":\"" + "x".repeat(100) + "\"}") != RaftReplica.Completion.DONE);
        assertEquals("the disk fails", old.stopReason);
        assertTrue(sim.runUntil(() -> sim.leader() != null));
        assertEquals(
                RaftReplica.Completion.DONE,
                put(sim, sim.leader(), sim.leader().replica.state().revision(), "{}"));
        // With room again it comes back with what it had.
        old.kill();
        old.disk.freeBytes = Long.MAX_VALUE;
        old.start();
        sim.run(3_000_000);
        assertEquals(
                sim.leader().replica.state().revision(), old.replica.state().revision());
        assertEquals(List.of(), sim.violations);
    }

    static void change(Simulation sim, boolean in, SimulatedMember who) {
        MembershipChange.Request wish = new MembershipChange.Request(in, who.identity.name());
        Set<lupinvalve.statemachine.MemberId> all = new TreeSet<>();
        sim.forEachMember(m -> {
            if (m.isRunning()) {
                all.add(m.identity);
            }
        });
        AtomicReference<MembershipChange.Step> step = new AtomicReference<>();
        assertTrue(
                sim.runUntil(() -> {
                    if (sim.leader() != null) {
                        RaftReplica leader = sim.leader().replica;
                        leader.report((fate, report) -> {
                            if (fate == RaftReplica.Completion.DONE && RaftReplica.isLeader(report)) {
                                MembershipChange.GroupView view = RaftReplica.groupView(report, all, all);
                                step.set(MembershipChange.nextStep(wish, view));
                                leader.changeMembership(step.get(), report, (f, ok) -> {});
                            }
                        });
                        sim.run(100_000);
                    }
                    return step.get() instanceof MembershipChange.Step.Done;
                }),
                String.valueOf(step.get()));
    }

    @Test
    void membersComeByASnapshotWhileTheHistoryMovesOnAndGoOneAtATime() throws IOException {
        Simulation sim = led(3, 2);
        String filler = "x".repeat(40_000);
        for (int i = 0; i < 40; i++) {
            assertEquals(RaftReplica.Completion.DONE, put(sim, sim.leader(), i, "{\"n\":\"" + i + filler + "\"}"));
        }
        assertEquals(
                1,
                sim.leader().disk.names().stream()
                        .filter(name -> name.startsWith("snapshot"))
                        .count());
        SimulatedMember newcomer = sim.members.get(3);
        newcomer.start();
        sim.members.get(4).start();
        SimulatedClients clients = new SimulatedClients(sim);
        for (int i = 1; i < 100; i++) {
            sim.schedule(i * 20_000, () -> sim.forEachMember(clients::put));
        }
        change(sim, true, newcomer);
        change(sim, true, sim.members.get(4));
        sim.run(3_000_000);
        assertEquals(
                sim.leader().replica.state().revision(),
                newcomer.replica.state().revision());
        // The leader is to go as well: it hands over first.
        SimulatedMember old = sim.leader();
        change(sim, false, old);
        assertTrue(sim.leader() != old);
        // One that is no member any more can't disturb the others, nor can its disk under its old name.
        int term = sim.leader().replica.term();
        old.kill();
        old.start();
        sim.run(10_000_000);
        assertEquals(term, sim.leader().replica.term());
        assertEquals(
                RaftReplica.Completion.DONE,
                put(sim, sim.leader(), sim.leader().replica.state().revision(), "{}"));
        assertEquals(List.of(), sim.violations);
        assertNotNull(newcomer.replica.state().document());
    }

    @Test
    void aMemberThatSleptWakesAsAFollowerAndNobodyBelievesIt() throws IOException {
        Simulation sim = led(3, 0);
        SimulatedMember old = sim.leader();
        old.pausedUntilMicros = sim.nowMicros + 10_000_000;
        AtomicReference<RaftReplica.Completion> late = new AtomicReference<>();
        old.replica.propose(
                new Command.PutDocument(0, Simulation.document("{\"old\":1}")), (fate, outcome) -> late.set(fate));
        assertTrue(sim.runUntil(() -> sim.members.stream().anyMatch(m -> m != old && m.replica.isLeader())));
        SimulatedMember next = sim.members.stream()
                .filter(m -> m != old && m.replica.isLeader())
                .findFirst()
                .orElseThrow();
        assertEquals(RaftReplica.Completion.DONE, put(sim, next, 0, "{\"new\":1}"));
        sim.run(15_000_000);
        assertFalse(old.replica.isLeader());
        assertTrue(late.get() != RaftReplica.Completion.DONE);
        assertEquals(
                next.replica.state().document().digest(),
                old.replica.state().document().digest());
        assertEquals(List.of(), sim.violations);
    }

    @Test
    void aMemberWhoseDiskWasFullTakesPartAgainInTheSameLifeFromWhatIsThere() throws IOException {
        for (long seed = 1; seed <= 20; seed++) {
            Simulation sim = new Simulation(seed, 3, 0);
            SimulatedClients clients = new SimulatedClients(sim);
            assertTrue(sim.runUntil(() -> sim.leader() != null));
            SimulatedMember full = sim.members.stream()
                    .filter(m -> m != sim.leader())
                    .findFirst()
                    .orElseThrow();
            full.disk.freeBytes = 30;
            sim.runUntil(() -> {
                Scenario.putAndReadAtLeader(sim, clients);
                return full.stopReason != null;
            });
            assertEquals(RaftReplica.Termination.DISK_FAILURE.reason(), full.stopReason);
            sim.run(3_000_000);
            Scenario.putAndReadAtLeader(sim, clients);
            int life = full.incarnation;
            full.disk.freeBytes = Long.MAX_VALUE;
            assertTrue(
                    sim.runUntil(() -> {
                        Scenario.putAndReadAtLeader(sim, clients);
                        return clients.caughtUp(full);
                    }),
                    "seed " + seed);
            assertEquals(life, full.incarnation);
            clients.checkAcknowledged(full);
            assertEquals(List.of(), sim.violations, "seed " + seed);
        }
    }
}
