package lupinvalve.capacity;

import java.util.List;
import lupinvalve.audit.Lease;
import lupinvalve.statemachine.MemberId;
import lupinvalve.statemachine.ReplicatedState;

/** What the group costs where each pooler is a member of it. */
final class GroupFigures {
    private static final double MICROS = 1e6;
    private static final String SIZES = "`CodeFactsTest`";
    private final Demand d;

    GroupFigures(Demand demand) {
        d = demand;
    }

    List<Figure> figures() {
        List<Figure> all = List.of(
                members(),
                taken(),
                heartbeats(),
                beats(),
                leases(),
                audit(1, Basis.COMPUTED),
                audit(Assumptions.BUSY_FACTOR, Basis.GUESSED),
                listing(),
                together(),
                leaderMessages(),
                leaderBytes(),
                kept(),
                replaced());
        return all.stream().map(figure -> figure.in(Figure.Scope.MEMBERS)).toList();
    }

    private Figure members() {
        return new Figure(
                "members of one group",
                d.poolers(),
                MemberId.MAX_MEMBERS,
                Unit.COUNT,
                MemberId.MAX_MEMBERS + 1,
                "poolers",
                Basis.COMPUTED,
                "`MemberId.MAX_MEMBERS`",
                "statemachine/MembershipChange.java");
    }

    private Figure taken() {
        return Figure.of(
                "connections that a member takes",
                d.poolers() - 1,
                CodeFacts.TAKEN_MOST,
                Unit.COUNT,
                Basis.COMPUTED,
                "`PeerConnections.MAX_ACCEPTED_CONNECTIONS`",
                "replication/PeerConnections.java");
    }

    private double heartbeatBytes() {
        return (CodeFacts.HEARTBEATS_PER_SECOND + CodeFacts.CONFIRMS_PER_SECOND)
                * (CodeFacts.HEARTBEAT + CodeFacts.HEARTBEAT_ANSWER);
    }

    private Figure heartbeats() {
        return Figure.of(
                "heartbeats and confirmations at a pooler, at most",
                heartbeatBytes(),
                d.controlBytesPerSecond(),
                Unit.BYTES_PER_SECOND,
                Basis.COMPUTED,
                "20 a second, " + SIZES,
                "replication/RaftReplica.java, AcceleratedExecutor.java");
    }

    private double beatBytes() {
        return 2.0 * CodeFacts.CONNECTIONS_PER_PAIR * (d.poolers() - 1) * CodeFacts.BEATS_PER_SECOND * CodeFacts.BEAT;
    }

    private Figure beats() {
        return Figure.inProportion(
                "beats with all other members, both ways, at a pooler",
                beatBytes(),
                d.controlBytesPerSecond(),
                Unit.BYTES_PER_SECOND,
                d.poolers(),
                Basis.COMPUTED,
                "each dials each, 2 a second, " + SIZES,
                "replication/PeerConnections.java");
    }

    private double leaseBytes() {
        return MICROS / Lease.RENEW_INTERVAL_MICROS * (CodeFacts.LEASE_CALL + CodeFacts.LEASE_ANSWER);
    }

    private Figure leases() {
        return Figure.of(
                "leases at a pooler",
                leaseBytes(),
                d.controlBytesPerSecond(),
                Unit.BYTES_PER_SECOND,
                Basis.COMPUTED,
                "each 0.3 s, " + SIZES,
                "audit/Lease.java");
    }

    private double auditBytes(double factor) {
        return factor * d.changesPerSecond() * d.poolers() * CodeFacts.NOTED;
    }

    private Figure audit(double factor, Basis basis) {
        String when = basis == Basis.GUESSED ? "in busy hours" : "mean of the day";
        return Figure.inProportion(
                "audit entries of all poolers through the log, at each, " + when,
                auditBytes(factor),
                d.controlBytesPerSecond(),
                Unit.BYTES_PER_SECOND,
                d.poolers(),
                basis,
                "two entries a change, " + SIZES,
                "replication/AuditLog.java");
    }

    private double listingBytes() {
        return d.databases() * CodeFacts.LISTED / CodeFacts.LISTING_SECONDS;
    }

    private Figure listing() {
        return Figure.of(
                "list of db nodes through the log each 10 s, at each",
                listingBytes(),
                d.controlBytesPerSecond(),
                Unit.BYTES_PER_SECOND,
                Basis.COMPUTED,
                "`Shared.REFRESH`, " + SIZES,
                "daemon/Shared.java");
    }

    private Figure together() {
        double sum = heartbeatBytes() + beatBytes() + leaseBytes() + auditBytes(1) + listingBytes();
        double fixed = heartbeatBytes() + leaseBytes() + listingBytes();
        double failsAt =
                Math.floor((d.controlBytesPerSecond() - fixed) / (beatBytes() + auditBytes(1)) * d.poolers()) + 1;
        return new Figure(
                "all of these at a pooler, without documents and commits",
                sum,
                d.controlBytesPerSecond(),
                Unit.BYTES_PER_SECOND,
                failsAt,
                "poolers",
                Basis.COMPUTED,
                "their sum, mean of the day",
                "group");
    }

    private Figure leaderMessages() {
        double followers = d.poolers() - 1;
        double each = 2 * (CodeFacts.HEARTBEATS_PER_SECOND + CodeFacts.CONFIRMS_PER_SECOND)
                + 2 * MICROS / Lease.RENEW_INTERVAL_MICROS;
        return Figure.plain(
                "leader: heartbeats, confirmations, leases, both ways, at most",
                followers * each,
                Unit.PER_SECOND,
                Basis.COMPUTED,
                "paces alone",
                "replication/RaftReplica.java, LeaseGrantor.java");
    }

    private Figure leaderBytes() {
        double each = heartbeatBytes() + leaseBytes() + listingBytes() + auditBytes(1);
        return Figure.inProportion(
                "leader: bytes of that with list and audit entries",
                (d.poolers() - 1) * each,
                Assumptions.CONTROL_LINK_BYTES_PER_SECOND,
                Unit.BYTES_PER_SECOND,
                d.poolers(),
                Basis.GUESSED,
                "paces, sizes; the link is a guess",
                "replication/RaftReplica.java");
    }

    private Figure kept() {
        double aDay = d.changesPerDay() * d.poolers() * CodeFacts.ENTRIES_PER_CHANGE;
        return Figure.inProportion(
                "audit entries of one day, against those kept",
                aDay,
                ReplicatedState.MAX_AUDIT_ENTRIES,
                Unit.COUNT,
                d.poolers(),
                Basis.GUESSED,
                "`ReplicatedState.MAX_AUDIT_ENTRIES`; that a day is wanted is a guess",
                "statemachine/ReplicatedState.java");
    }

    private Figure replaced() {
        double seconds = d.herd() * CodeFacts.CHANGES_PER_REPLACED * CodeFacts.MEMBERSHIP_STEP_SECONDS;
        double failsAt = Math.floor(d.inForceSeconds() / seconds * d.herd()) + 1;
        return new Figure(
                "130 replaced members, one change of members at a time, at least",
                seconds,
                d.inForceSeconds(),
                Unit.SECONDS,
                failsAt,
                "replaced at once",
                Basis.COMPUTED,
                "4 changes each, `MembershipChanges.STEP_INTERVAL_MICROS`",
                "statemachine/MembershipChange.java");
    }
}
