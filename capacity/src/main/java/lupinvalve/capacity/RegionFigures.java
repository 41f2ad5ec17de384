package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.List;
import lupinvalve.audit.Lease;
import lupinvalve.subscription.RevisionHistory;

/**
 * Figures for one control member per region, and for a region that is cut off: what its poolers may do and what its
 * return costs.
 */
final class RegionFigures {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double SECONDS_PER_HOUR = 3600;
    private static final double ENVELOPE_BYTES = 80;
    private final Demand demand;
    private final double documentBytes;

    RegionFigures(Demand demand, double documentBytes) {
        this.demand = demand;
        this.documentBytes = documentBytes;
    }

    List<Figure> figures() {
        List<Figure> out = new ArrayList<>();
        double missed = demand.changesPerSecond() * demand.cutHours() * SECONDS_PER_HOUR;
        double difference = documentBytes / demand.databases() + ENVELOPE_BYTES;
        out.add(Figure.of(
                "a change accepted across regions, least",
                Assumptions.REGION_ROUND_TRIP_SECONDS,
                demand.inForceSeconds(),
                Unit.SECONDS,
                Basis.GUESSED,
                "one way there and back",
                "replication/RaftReplica.java"));
        out.add(Figure.of(
                "a cut region's poolers may act with `fence`, at most",
                Lease.DURATION_MICROS / MICROS_PER_SECOND,
                demand.inForceSeconds(),
                Unit.SECONDS,
                Basis.COMPUTED,
                "`Lease.DURATION_MICROS`",
                "audit/Lease.java"));
        out.add(Figure.plain(
                "statements refused in the hour with `fence`",
                demand.statementsPerSecond()
                        / demand.regions()
                        * (demand.cutHours() * SECONDS_PER_HOUR - Lease.DURATION_MICROS / MICROS_PER_SECOND),
                Unit.COUNT,
                Basis.COMPUTED,
                "a third of the statements",
                "audit/Lease.java"));
        out.add(Figure.of(
                        "changes missed in the hour, against the differences that a member keeps",
                        missed,
                        RevisionHistory.DELTAS_MAX_COUNT,
                        Unit.COUNT,
                        Basis.COMPUTED,
                        "`RevisionHistory.DELTAS_MAX_COUNT`",
                        "subscription/RevisionHistory.java")
                .withScope(Figure.Scope.SUBSCRIPTIONS));
        String fetched = "what one of the region's " + Unit.number(Math.floor(demand.poolersPerRegion()))
                + " poolers fetches on return, by differences";
        out.add(Figure.plain(
                fetched,
                Math.min(documentBytes, missed * difference),
                Unit.BYTES,
                Basis.GUESSED,
                "one database a change is a guess",
                "subscription/RevisionHistory.java"));
        out.add(Figure.of(
                "those differences within 18 KB/s",
                Math.min(documentBytes, missed * difference) / demand.controlBytesPerSecond(),
                demand.inForceSeconds(),
                Unit.SECONDS,
                Basis.GUESSED,
                "one database a change is a guess",
                "subscription/RevisionHistory.java"));
        out.add(Figure.of(
                "a whole document for each of the region's poolers, at its control member",
                documentBytes * demand.poolersPerRegion() / Assumptions.CONTROL_LINK_BYTES_PER_SECOND,
                demand.inForceSeconds(),
                Unit.SECONDS,
                Basis.GUESSED,
                "the link is a guess",
                "subscription/FullDocumentLimiter.java"));
        out.add(Figure.of(
                "another leader where the leader's region is lost, worst seen",
                EarlierMeasurements.MAX_FAILOVER_SECONDS,
                demand.inForceSeconds(),
                Unit.SECONDS,
                Basis.COMPUTED,
                EarlierMeasurements.DRILL_PAGE + ", regions apart not run",
                "replication/RaftReplica.java"));
        return out;
    }
}
