package lupinvalve.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.ReplicatedState;

/**
 * Clients of a {@link Simulation} that put and read configurations at members that claim to lead. Checks that nothing
 * acknowledged is lost or read stale.
 */
final class SimulatedClients {
    /** Digests of the configurations that were acknowledged, by revision. */
    final TreeMap<Long, String> acknowledgedDigests = new TreeMap<>();

    private final Simulation simulation;
    private int nextNumber;

    SimulatedClients(Simulation simulation) {
        this.simulation = simulation;
    }

    private long lastAcknowledged() {
        return acknowledgedDigests.isEmpty() ? 0 : acknowledgedDigests.lastKey();
    }

    void put(SimulatedMember at) {
        put(at, "");
    }

    void put(SimulatedMember at, String filler) {
        if (!at.isRunning()) {
            return;
        }
        byte[] content = Simulation.document("{\"n\":\"" + nextNumber++ + filler + "\"}");
        long expected = at.replica.state().revision();
        at.replica.propose(new Command.PutDocument(expected, content), (completion, outcome) -> {
            if (completion == RaftReplica.Completion.DONE && outcome.result() == ReplicatedState.Result.APPLIED) {
                String other = acknowledgedDigests.putIfAbsent(outcome.revision(), ReplicatedState.digest(content));
                if (other != null) {
                    simulation.violations.add("revision " + outcome.revision() + " was acknowledged twice");
                }
            }
        });
    }

    void read(SimulatedMember at) {
        if (!at.isRunning()) {
            return;
        }
        long expected = lastAcknowledged();
        at.replica.readBarrier((completion, ok) -> {
            if (completion == RaftReplica.Completion.DONE && at.replica.state().revision() < expected) {
                simulation.violations.add(
                        "a read came back with revision " + at.replica.state().revision() + " after " + expected);
            }
        });
    }

    /** Whether a member has all that was acknowledged, by its revision. */
    boolean caughtUp(SimulatedMember member) {
        return member.isRunning()
                && !acknowledgedDigests.isEmpty()
                && member.replica.state().revision() >= acknowledgedDigests.lastKey();
    }

    /** Notes a violation where a member lacks something acknowledged, or has it at another revision. */
    void checkAcknowledged(SimulatedMember member) {
        if (!caughtUp(member)) {
            simulation.violations.add(member.identity + describeBehind(member));
            return;
        }
        List<String> digests = new ArrayList<>(simulation
                .committedDigests
                .headMap(member.replica.state().appliedIndex(), true)
                .values());
        acknowledgedDigests.forEach((revision, digest) -> {
            if (digests.size() < revision || !digests.get((int) (revision - 1)).equals(digest)) {
                simulation.violations.add("revision " + revision + " was acknowledged and is lost");
            }
        });
    }

    private String describeBehind(SimulatedMember member) {
        if (!member.isRunning()) {
            return " does not run: " + member.stopReason;
        }
        return " has only revision " + member.replica.state().revision() + " after " + lastAcknowledged() + ", term "
                + member.replica.term() + " of " + simulation.leaderByTerm.lastKey();
    }
}
