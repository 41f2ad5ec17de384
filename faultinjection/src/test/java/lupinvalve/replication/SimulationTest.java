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
import lupinvalve.statemachine.MemberId;
import lupinvalve.statemachine.MembershipChange;
import lupinvalve.statemachine.ReplicatedState;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * A Raft group under faults in virtual time: killed and paused members, failed links, full disks, disks that do not
 * force, and membership changes.
 */
class SimulationTest {
    private static final int SCHEDULE_COUNT = 4000;

    @BeforeAll
    static void disableLog() {
        Log.setLevel(Log.Level.ERROR);
        Log.setOutput(new java.io.PrintStream(java.io.OutputStream.nullOutputStream()));
    }

    @org.junit.jupiter.api.AfterAll
    static void restoreLog() {
        Log.setOutput(System.err);
    }

    /** Runs one random sequence of faults and requests; returns the violations. */
    private static List<String> runSchedule(long seed, boolean skipForces) {
        try {
            Simulation sim = new Simulation(seed, seed % 3 == 0 ? 5 : 3, 0);
            SimulatedClients clients = new SimulatedClients(sim);
            sim.forEachMember(member -> member.disk.seededBug =
                    skipForces ? FaultSweep.SeededBug.ACK_BEFORE_FORCE : FaultSweep.SeededBug.NONE);
            for (int step = 0; step < 60; step++) {
                switch (sim.random.nextInt(12)) {
                    case 0 -> injectFault(sim);
                    case 1 -> sim.restoreNetwork();
                    case 2 -> {
                        for (SimulatedMember member : sim.members) {
                            if (member.replica == null) {
                                member.start();
                            }
                        }
                    }
                    default -> {
                        sim.forEachMember(member -> {
                            if (member.isRunning() && member.replica.isLeader()) {
                                clients.put(member);
                                clients.read(member);
                            }
                        });
                    }
                }
                sim.run(20_000 + sim.random.nextInt(150_000));
            }
            sim.restoreNetwork();
            for (SimulatedMember member : sim.members) {
                if (member.replica == null) {
                    member.start();
                }
            }
            int acknowledgedBefore = clients.acknowledgedDigests.size();
            boolean settled = sim.runUntil(() -> {
                if (sim.leader() != null) {
                    clients.put(sim.leader());
                }
                return clients.acknowledgedDigests.size() > acknowledgedBefore;
            });
            if (!settled) {
                sim.violations.add("no change was committed after all faults had been repaired");
            } else {
                // Members that are still paused catch up once they resume.
                sim.runUntil(() -> sim.members.stream().allMatch(clients::caughtUp));
                sim.forEachMember(clients::checkAcknowledged);
            }
            return sim.violations;
        } catch (IOException | RuntimeException e) {
            return List.of("seed " + seed + ": " + e);
        }
    }

    /** Injects a random fault: kills or pauses a member, breaks links, or loses messages. */
    private static void injectFault(Simulation sim) {
        SimulatedMember target = sim.randomMember();
        SimulatedMember peer = sim.randomMember();
        switch (sim.random.nextInt(6)) {
            case 0 -> target.kill();
            case 1 -> sim.linkDown[target.number][peer.number] = true;
            case 2 -> sim.forEachMember(member -> {
                sim.linkDown[member.number][target.number] = true;
                sim.linkDown[target.number][member.number] = true;
            });
            case 3 -> target.pausedUntilMicros = sim.nowMicros + 10_000_000;
            case 4 -> sim.messageLossRatio = 0.3;
            default -> {
                // Kills the leader while its changes are in flight.
                SimulatedMember leader = sim.leader();
                if (leader != null) {
                    leader.kill();
                }
            }
        }
    }

    @Test
    void randomFaultsCauseNoViolation() {
        List<String> violations = IntStream.range(0, SCHEDULE_COUNT)
                .parallel()
                .boxed()
                .flatMap(seed -> runSchedule(seed, false).stream().map(violation -> seed + ": " + violation))
                .toList();
        assertEquals(List.of(), violations);
    }

    @Test
    void disksThatDoNotForceAreDetected() {
        assertTrue(IntStream.range(0, 60).parallel().anyMatch(seed -> !runSchedule(seed, true)
                .isEmpty()));
    }

    @Test
    void theSameSeedCommitsTheSameChanges() throws IOException {
        for (int seed = 0; seed < 3; seed++) {
            Simulation firstSim = new Simulation(seed, 3, 0);
            Simulation secondSim = new Simulation(seed, 3, 0);
            for (Simulation sim : List.of(firstSim, secondSim)) {
                SimulatedClients clients = new SimulatedClients(sim);
                for (int i = 0; i < 50; i++) {
                    sim.forEachMember(clients::put);
                    sim.run(50_000);
                }
            }
            assertEquals(firstSim.committedDigests, secondSim.committedDigests);
            assertFalse(firstSim.committedDigests.isEmpty());
        }
    }

    /** A group that has a leader. */
    private static Simulation groupWithLeader(int founderCount, int laterMemberCount) throws IOException {
        Simulation sim = new Simulation(7, founderCount, laterMemberCount);
        assertTrue(sim.runUntil(() -> sim.leader() != null));
        return sim;
    }

    /** Puts a configuration; returns the completion, or null if the change was committed but not applied. */
    private static RaftReplica.Completion put(
            Simulation sim, SimulatedMember member, long expectedRevision, String text) {
        AtomicReference<RaftReplica.Completion> completionRef = new AtomicReference<>();
        AtomicReference<ReplicatedState.Outcome> outcome = new AtomicReference<>();
        member.replica.propose(
                new Command.PutDocument(expectedRevision, Simulation.document(text)), (completion, result) -> {
                    outcome.set(result);
                    completionRef.set(completion);
                });
        sim.runUntil(() -> completionRef.get() != null);
        return completionRef.get() == RaftReplica.Completion.DONE
                        && outcome.get().result() != ReplicatedState.Result.APPLIED
                ? null
                : completionRef.get();
    }

    @Test
    void anIsolatedLeaderCommitsNothingAndStepsDown() throws IOException {
        Simulation sim = groupWithLeader(3, 0);
        SimulatedMember oldLeader = sim.leader();
        assertEquals(RaftReplica.Completion.DONE, put(sim, oldLeader, 0, "{}"));
        sim.forEachMember(member -> {
            if (member != oldLeader) {
                sim.linkDown[member.number][oldLeader.number] = true;
                sim.linkDown[oldLeader.number][member.number] = true;
            }
        });
        AtomicReference<RaftReplica.Completion> putCompletion = new AtomicReference<>();
        AtomicReference<RaftReplica.Completion> readCompletion = new AtomicReference<>();
        oldLeader.replica.propose(
                new Command.PutDocument(1, Simulation.document("{\"a\":1}")),
                (completion, outcome) -> putCompletion.set(completion));
        oldLeader.replica.readBarrier((completion, ok) -> readCompletion.set(completion));
        assertTrue(sim.runUntil(
                () -> sim.members.stream().anyMatch(member -> member != oldLeader && member.replica.isLeader())));
        sim.run(2_000_000);
        assertFalse(oldLeader.replica.isLeader());
        assertTrue(readCompletion.get() != RaftReplica.Completion.DONE
                && putCompletion.get() != RaftReplica.Completion.DONE);
        assertEquals(RaftReplica.Completion.DONE, put(sim, sim.leader(), 1, "{\"b\":1}"));
        sim.restoreNetwork();
        sim.run(3_000_000);
        assertEquals(RaftReplica.Completion.INDETERMINATE, putCompletion.get());
        assertEquals(List.of(), sim.violations);
        assertEquals(
                oldLeader.replica.state().document().digest(),
                sim.leader().replica.state().document().digest());
    }

    @Test
    void ofTwoPutsAgainstOneRevisionTheSecondConflicts() throws IOException {
        Simulation sim = groupWithLeader(3, 0);
        AtomicReference<ReplicatedState.Outcome> first = new AtomicReference<>();
        AtomicReference<ReplicatedState.Outcome> second = new AtomicReference<>();
        sim.leader()
                .replica
                .propose(
                        new Command.PutDocument(0, Simulation.document("{\"a\":1}")),
                        (completion, outcome) -> first.set(outcome));
        sim.leader()
                .replica
                .propose(
                        new Command.PutDocument(0, Simulation.document("{\"b\":1}")),
                        (completion, outcome) -> second.set(outcome));
        sim.runUntil(() -> first.get() != null && second.get() != null);
        assertEquals(ReplicatedState.Result.APPLIED, first.get().result());
        assertEquals(ReplicatedState.Result.CONFLICT, second.get().result());
        assertEquals(1, second.get().revision());
    }

    @Test
    void aLeaderWithAFullDiskTerminatesAndTheOthersContinue() throws IOException {
        Simulation sim = groupWithLeader(3, 0);
        SimulatedMember oldLeader = sim.leader();
        oldLeader.disk.freeBytes = 30;
        assertTrue(put(sim, oldLeader, 0, "{\"long\":\"" + "x".repeat(100) + "\"}") != RaftReplica.Completion.DONE);
        assertEquals("the disk fails", oldLeader.stopReason);
        assertTrue(sim.runUntil(() -> sim.leader() != null));
        assertEquals(
                RaftReplica.Completion.DONE,
                put(sim, sim.leader(), sim.leader().replica.state().revision(), "{}"));
        // Once the disk has space again, the member restarts with its earlier state and catches up.
        oldLeader.kill();
        oldLeader.disk.freeBytes = Long.MAX_VALUE;
        oldLeader.start();
        sim.run(3_000_000);
        assertEquals(
                sim.leader().replica.state().revision(),
                oldLeader.replica.state().revision());
        assertEquals(List.of(), sim.violations);
    }

    /** Adds or removes a member, one step after another, until the change is done. */
    static void changeMembership(Simulation sim, boolean add, SimulatedMember member) {
        MembershipChange.Request request = new MembershipChange.Request(add, member.identity.name());
        Set<MemberId> runningMembers = new TreeSet<>();
        sim.forEachMember(other -> {
            if (other.isRunning()) {
                runningMembers.add(other.identity);
            }
        });
        AtomicReference<MembershipChange.Step> step = new AtomicReference<>();
        assertTrue(
                sim.runUntil(() -> {
                    if (sim.leader() != null) {
                        RaftReplica leader = sim.leader().replica;
                        leader.report((completion, report) -> {
                            if (completion == RaftReplica.Completion.DONE && RaftReplica.isLeader(report)) {
                                MembershipChange.GroupView view =
                                        RaftReplica.groupView(report, runningMembers, runningMembers);
                                step.set(MembershipChange.nextStep(request, view));
                                leader.changeMembership(step.get(), report, (stepCompletion, ok) -> {});
                            }
                        });
                        sim.run(100_000);
                    }
                    return step.get() instanceof MembershipChange.Step.Done;
                }),
                String.valueOf(step.get()));
    }

    @Test
    void membersJoinBySnapshotDuringPutsAndAreRemovedOneAtATime() throws IOException {
        Simulation sim = groupWithLeader(3, 2);
        String filler = "x".repeat(40_000);
        for (int i = 0; i < 40; i++) {
            assertEquals(RaftReplica.Completion.DONE, put(sim, sim.leader(), i, "{\"n\":\"" + i + filler + "\"}"));
        }
        assertEquals(
                1,
                sim.leader().disk.names().stream()
                        .filter(name -> name.startsWith("snapshot"))
                        .count());
        SimulatedMember newMember = sim.members.get(3);
        newMember.start();
        sim.members.get(4).start();
        SimulatedClients clients = new SimulatedClients(sim);
        for (int i = 1; i < 100; i++) {
            sim.schedule(i * 20_000, () -> sim.forEachMember(clients::put));
        }
        changeMembership(sim, true, newMember);
        changeMembership(sim, true, sim.members.get(4));
        sim.run(3_000_000);
        assertEquals(
                sim.leader().replica.state().revision(),
                newMember.replica.state().revision());
        // Removing the leader: it transfers leadership first.
        SimulatedMember oldLeader = sim.leader();
        changeMembership(sim, false, oldLeader);
        assertTrue(sim.leader() != oldLeader);
        // A removed member that restarts from its old disk and under its old name does not raise the others' term.
        int term = sim.leader().replica.term();
        oldLeader.kill();
        oldLeader.start();
        sim.run(10_000_000);
        assertEquals(term, sim.leader().replica.term());
        assertEquals(
                RaftReplica.Completion.DONE,
                put(sim, sim.leader(), sim.leader().replica.state().revision(), "{}"));
        assertEquals(List.of(), sim.violations);
        assertNotNull(newMember.replica.state().document());
    }

    @Test
    void aPausedLeaderResumesAsAFollowerAndItsProposalIsNotAcknowledged() throws IOException {
        Simulation sim = groupWithLeader(3, 0);
        SimulatedMember oldLeader = sim.leader();
        oldLeader.pausedUntilMicros = sim.nowMicros + 10_000_000;
        AtomicReference<RaftReplica.Completion> lateCompletion = new AtomicReference<>();
        oldLeader.replica.propose(
                new Command.PutDocument(0, Simulation.document("{\"old\":1}")),
                (completion, outcome) -> lateCompletion.set(completion));
        assertTrue(sim.runUntil(
                () -> sim.members.stream().anyMatch(member -> member != oldLeader && member.replica.isLeader())));
        SimulatedMember newLeader = sim.members.stream()
                .filter(member -> member != oldLeader && member.replica.isLeader())
                .findFirst()
                .orElseThrow();
        assertEquals(RaftReplica.Completion.DONE, put(sim, newLeader, 0, "{\"new\":1}"));
        sim.run(15_000_000);
        assertFalse(oldLeader.replica.isLeader());
        assertTrue(lateCompletion.get() != RaftReplica.Completion.DONE);
        assertEquals(
                newLeader.replica.state().document().digest(),
                oldLeader.replica.state().document().digest());
        assertEquals(List.of(), sim.violations);
    }

    @Test
    void aMemberWhoseDiskWasFullRecoversInTheSameProcess() throws IOException {
        for (long seed = 1; seed <= 20; seed++) {
            Simulation sim = new Simulation(seed, 3, 0);
            SimulatedClients clients = new SimulatedClients(sim);
            assertTrue(sim.runUntil(() -> sim.leader() != null));
            SimulatedMember fullMember = sim.members.stream()
                    .filter(member -> member != sim.leader())
                    .findFirst()
                    .orElseThrow();
            fullMember.disk.freeBytes = 30;
            sim.runUntil(() -> {
                Scenario.putAndReadAtLeader(sim, clients);
                return fullMember.stopReason != null;
            });
            assertEquals(RaftReplica.Termination.DISK_FAILURE.reason(), fullMember.stopReason);
            sim.run(3_000_000);
            Scenario.putAndReadAtLeader(sim, clients);
            int incarnation = fullMember.incarnation;
            fullMember.disk.freeBytes = Long.MAX_VALUE;
            assertTrue(
                    sim.runUntil(() -> {
                        Scenario.putAndReadAtLeader(sim, clients);
                        return clients.caughtUp(fullMember);
                    }),
                    "seed " + seed);
            assertEquals(incarnation, fullMember.incarnation);
            clients.checkAcknowledged(fullMember);
            assertEquals(List.of(), sim.violations, "seed " + seed);
        }
    }
}
