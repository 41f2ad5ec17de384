package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.List;
import lupinvalve.audit.Lease;
import lupinvalve.subscription.RevisionHistory;

/** One control member a region, and what a region that is cut off may do and costs. */
final class RegionFigures {
    private static final double MICROS = 1e6;
    private static final double HOUR = 3600;
    private static final double ENVELOPE = 80;
    private final Demand d;
    private final double document;

    RegionFigures(Demand demand, double documentBytes) {
        d = demand;
        document = documentBytes;
    }

    List<Figure> figures() {
        List<Figure> out = new ArrayList<>();
        double missed = d.changesPerSecond() * d.cutHours() * HOUR;
        double difference = document / d.databases() + ENVELOPE;
        out.add(Figure.of(
                "a change accepted across regions, least",
                Assumptions.REGIONS_APART_SECONDS,
                d.inForceSeconds(),
                Unit.SECONDS,
                Basis.GUESSED,
                "one way there and back",
                "replication/RaftReplica.java"));
        out.add(Figure.of(
                "a cut region's poolers may act with `fence`, at most",
                Lease.DURATION_MICROS / MICROS,
                d.inForceSeconds(),
                Unit.SECONDS,
                Basis.COMPUTED,
                "`Lease.DURATION_MICROS`",
                "audit/Lease.java"));
        out.add(Figure.plain(
                "statements refused in the hour with `fence`",
                d.statementsPerSecond() / d.regions() * (d.cutHours() * HOUR - Lease.DURATION_MICROS / MICROS),
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
                .in(Figure.Scope.SUBSCRIPTIONS));
        String fetched = "what one of the region's " + Unit.number(Math.floor(d.poolersPerRegion()))
                + " poolers fetches on return, by differences";
        out.add(Figure.plain(
                fetched,
                Math.min(document, missed * difference),
                Unit.BYTES,
                Basis.GUESSED,
                "one database a change is a guess",
                "subscription/RevisionHistory.java"));
        out.add(Figure.of(
                "those differences within 18 KB/s",
                Math.min(document, missed * difference) / d.controlBytesPerSecond(),
                d.inForceSeconds(),
                Unit.SECONDS,
                Basis.GUESSED,
                "one database a change is a guess",
                "subscription/RevisionHistory.java"));
        out.add(Figure.of(
                "a whole document for each of the region's poolers, at its control member",
                document * d.poolersPerRegion() / Assumptions.CONTROL_LINK_BYTES_PER_SECOND,
                d.inForceSeconds(),
                Unit.SECONDS,
                Basis.GUESSED,
                "the link is a guess",
                "subscription/FullDocumentLimiter.java"));
        out.add(Figure.of(
                "another leader where the leader's region is lost, worst seen",
                Past.FAILOVER_MOST_SECONDS,
                d.inForceSeconds(),
                Unit.SECONDS,
                Basis.COMPUTED,
                Past.DRILL_PAGE + ", regions apart not run",
                "replication/RaftReplica.java"));
        return out;
    }
}
