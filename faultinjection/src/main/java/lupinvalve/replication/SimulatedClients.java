package lupinvalve.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.ReplicatedState;

/**
 * Clients of a {@link Simulation} that put and read configurations at members, in general at those that claim
 * leadership. Checks that no acknowledged configuration is lost and that no read is stale.
 */
final class SimulatedClients {
    /** Digests of the acknowledged configurations, by revision. */
    final TreeMap<Long, String> acknowledgedDigests = new TreeMap<>();

    private final Simulation simulation;
    private int nextNumber;

    SimulatedClients(Simulation simulation) {
        this.simulation = simulation;
    }

    private long lastAcknowledgedRevision() {
        return acknowledgedDigests.isEmpty() ? 0 : acknowledgedDigests.lastKey();
    }

    void put(SimulatedMember member) {
        put(member, "");
    }

    /** Proposes a new configuration at a member if it is running; {@code filler} makes the document larger. */
    void put(SimulatedMember member, String filler) {
        if (!member.isRunning()) {
            return;
        }
        byte[] content = Simulation.document("{\"n\":\"" + nextNumber++ + filler + "\"}");
        long expectedRevision = member.replica.state().revision();
        member.replica.propose(new Command.PutDocument(expectedRevision, content), (completion, outcome) -> {
            if (completion == RaftReplica.Completion.DONE && outcome.result() == ReplicatedState.Result.APPLIED) {
                String earlierDigest =
                        acknowledgedDigests.putIfAbsent(outcome.revision(), ReplicatedState.digest(content));
                if (earlierDigest != null) {
                    simulation.violations.add("revision " + outcome.revision() + " was acknowledged twice");
                }
            }
        });
    }

    /** Reads at a member if it is running; the result must have all that was acknowledged before the call. */
    void read(SimulatedMember member) {
        if (!member.isRunning()) {
            return;
        }
        long requiredRevision = lastAcknowledgedRevision();
        member.replica.readBarrier((completion, ok) -> {
            if (completion == RaftReplica.Completion.DONE
                    && member.replica.state().revision() < requiredRevision) {
                simulation.violations.add("stale read at " + member.identity.name() + ": revision "
                        + member.replica.state().revision() + " after revision " + requiredRevision
                        + " was acknowledged");
            }
        });
    }

    /** Whether a running member has reached the last acknowledged revision; false if nothing was acknowledged. */
    boolean caughtUp(SimulatedMember member) {
        return member.isRunning()
                && !acknowledgedDigests.isEmpty()
                && member.replica.state().revision() >= acknowledgedDigests.lastKey();
    }

    /** Records a violation if a member lacks an acknowledged configuration or has another one at its revision. */
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
                simulation.violations.add(
                        member.identity + " has lost revision " + revision + ", which was acknowledged");
            }
        });
    }

    private String describeBehind(SimulatedMember member) {
        if (!member.isRunning()) {
            return " is not running: " + member.stopReason;
        }
        return " is at revision " + member.replica.state().revision() + " and term " + member.replica.term()
                + "; acknowledged up to revision " + lastAcknowledgedRevision() + ", last term with a leader "
                + simulation.leaderByTerm.lastKey();
    }
}
