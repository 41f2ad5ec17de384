package lupinvalve.capacity;

import java.util.List;
import lupinvalve.audit.Lease;
import lupinvalve.statemachine.MemberId;
import lupinvalve.statemachine.ReplicatedState;

/** Figures for the Raft group if each pooler is a member of it. */
final class GroupFigures {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final String SIZES = "`CodeFactsTest`";
    private final Demand demand;

    GroupFigures(Demand demand) {
        this.demand = demand;
    }

    List<Figure> figures() {
        List<Figure> all = List.of(
                members(),
                acceptedConnections(),
                heartbeats(),
                connectionHeartbeats(),
                leases(),
                audit(1, Basis.COMPUTED),
                audit(Assumptions.BUSY_HOURS_RATIO, Basis.GUESSED),
                endpointList(),
                allTogether(),
                leaderMessages(),
                leaderBytes(),
                keptAuditEntries(),
                replacedMembers());
        return all.stream()
                .map(figure -> figure.withScope(Figure.Scope.MEMBERS))
                .toList();
    }

    private Figure members() {
        return new Figure(
                "members of one group",
                demand.poolers(),
                MemberId.MAX_MEMBERS,
                Unit.COUNT,
                MemberId.MAX_MEMBERS + 1,
                "poolers",
                Basis.COMPUTED,
                "`MemberId.MAX_MEMBERS`",
                "statemachine/MembershipChange.java");
    }

    private Figure acceptedConnections() {
        return Figure.of(
                "connections that a member takes",
                demand.poolers() - 1,
                CodeFacts.MAX_ACCEPTED_CONNECTIONS,
                Unit.COUNT,
                Basis.COMPUTED,
                "`PeerConnections.MAX_ACCEPTED_CONNECTIONS`",
                "replication/PeerConnections.java");
    }

    private double heartbeatBytes() {
        return (CodeFacts.HEARTBEATS_PER_SECOND + CodeFacts.CONFIRMS_PER_SECOND)
                * (CodeFacts.HEARTBEAT_BYTES + CodeFacts.HEARTBEAT_RESPONSE_BYTES);
    }

    private Figure heartbeats() {
        return Figure.of(
                "heartbeats and confirmations at a pooler, at most",
                heartbeatBytes(),
                demand.controlBytesPerSecond(),
                Unit.BYTES_PER_SECOND,
                Basis.COMPUTED,
                "20 a second, " + SIZES,
                "replication/RaftReplica.java, AcceleratedExecutor.java");
    }

    private double connectionHeartbeatBytes() {
        return 2.0
                * CodeFacts.CONNECTIONS_PER_PAIR
                * (demand.poolers() - 1)
                * CodeFacts.CONNECTION_HEARTBEATS_PER_SECOND
                * CodeFacts.CONNECTION_HEARTBEAT_BYTES;
    }

    private Figure connectionHeartbeats() {
        return Figure.inProportion(
                "beats with all other members, both ways, at a pooler",
                connectionHeartbeatBytes(),
                demand.controlBytesPerSecond(),
                Unit.BYTES_PER_SECOND,
                demand.poolers(),
                Basis.COMPUTED,
                "each dials each, 2 a second, " + SIZES,
                "replication/PeerConnections.java");
    }

    private double leaseBytes() {
        return MICROS_PER_SECOND
                / Lease.RENEW_INTERVAL_MICROS
                * (CodeFacts.LEASE_REQUEST_BYTES + CodeFacts.LEASE_RESPONSE_BYTES);
    }

    private Figure leases() {
        return Figure.of(
                "leases at a pooler",
                leaseBytes(),
                demand.controlBytesPerSecond(),
                Unit.BYTES_PER_SECOND,
                Basis.COMPUTED,
                "each 0.3 s, " + SIZES,
                "audit/Lease.java");
    }

    private double auditBytes(double factor) {
        return factor * demand.changesPerSecond() * demand.poolers() * CodeFacts.AUDIT_ENTRIES_BYTES;
    }

    private Figure audit(double factor, Basis basis) {
        String when = basis == Basis.GUESSED ? "in busy hours" : "mean of the day";
        return Figure.inProportion(
                "audit entries of all poolers through the log, at each, " + when,
                auditBytes(factor),
                demand.controlBytesPerSecond(),
                Unit.BYTES_PER_SECOND,
                demand.poolers(),
                basis,
                "two entries a change, " + SIZES,
                "replication/AuditLog.java");
    }

    private double endpointListBytes() {
        return demand.databases() * CodeFacts.GROUP_LIST_ENTRY_BYTES / CodeFacts.ENDPOINT_LIST_INTERVAL_SECONDS;
    }

    private Figure endpointList() {
        return Figure.of(
                "list of db nodes through the log each 10 s, at each",
                endpointListBytes(),
                demand.controlBytesPerSecond(),
                Unit.BYTES_PER_SECOND,
                Basis.COMPUTED,
                "`Shared.REFRESH`, " + SIZES,
                "daemon/Shared.java");
    }

    private Figure allTogether() {
        double sum = heartbeatBytes() + connectionHeartbeatBytes() + leaseBytes() + auditBytes(1) + endpointListBytes();
        double fixed = heartbeatBytes() + leaseBytes() + endpointListBytes();
        double failsAt = Math.floor((demand.controlBytesPerSecond() - fixed)
                        / (connectionHeartbeatBytes() + auditBytes(1))
                        * demand.poolers())
                + 1;
        return new Figure(
                "all of these at a pooler, without documents and commits",
                sum,
                demand.controlBytesPerSecond(),
                Unit.BYTES_PER_SECOND,
                failsAt,
                "poolers",
                Basis.COMPUTED,
                "their sum, mean of the day",
                "group");
    }

    private Figure leaderMessages() {
        double followers = demand.poolers() - 1;
        double each = 2 * (CodeFacts.HEARTBEATS_PER_SECOND + CodeFacts.CONFIRMS_PER_SECOND)
                + 2 * MICROS_PER_SECOND / Lease.RENEW_INTERVAL_MICROS;
        return Figure.plain(
                "leader: heartbeats, confirmations, leases, both ways, at most",
                followers * each,
                Unit.PER_SECOND,
                Basis.COMPUTED,
                "paces alone",
                "replication/RaftReplica.java, LeaseGrantor.java");
    }

    private Figure leaderBytes() {
        double each = heartbeatBytes() + leaseBytes() + endpointListBytes() + auditBytes(1);
        return Figure.inProportion(
                "leader: bytes of that with list and audit entries",
                (demand.poolers() - 1) * each,
                Assumptions.CONTROL_LINK_BYTES_PER_SECOND,
                Unit.BYTES_PER_SECOND,
                demand.poolers(),
                Basis.GUESSED,
                "paces, sizes; the link is a guess",
                "replication/RaftReplica.java");
    }

    private Figure keptAuditEntries() {
        double entriesPerDay = demand.changesPerDay() * demand.poolers() * CodeFacts.AUDIT_ENTRIES_PER_CHANGE;
        return Figure.inProportion(
                "audit entries of one day, against those kept",
                entriesPerDay,
                ReplicatedState.MAX_AUDIT_ENTRIES,
                Unit.COUNT,
                demand.poolers(),
                Basis.GUESSED,
                "`ReplicatedState.MAX_AUDIT_ENTRIES`; that a day is wanted is a guess",
                "statemachine/ReplicatedState.java");
    }

    private Figure replacedMembers() {
        double seconds =
                demand.herd() * CodeFacts.MEMBERSHIP_CHANGES_PER_REPLACEMENT * CodeFacts.MEMBERSHIP_STEP_SECONDS;
        double failsAt = Math.floor(demand.inForceSeconds() / seconds * demand.herd()) + 1;
        return new Figure(
                "130 replaced members, one change of members at a time, at least",
                seconds,
                demand.inForceSeconds(),
                Unit.SECONDS,
                failsAt,
                "replaced at once",
                Basis.COMPUTED,
                "4 changes each, `MembershipChanges.STEP_INTERVAL_MICROS`",
                "statemachine/MembershipChange.java");
    }
}
