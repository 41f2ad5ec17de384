package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.List;
import lupinvalve.statemachine.ReplicatedState;

/** Figures for the cost of a document of all databases, sent whole and as differences. */
final class ConfigurationFigures {
    /** Bytes of revision, change, digest, lease and lengths that accompany a difference. */
    private static final double ENVELOPE_BYTES = 80;

    private final Demand demand;
    private final double documentBytes;
    private final double bytesPerDatabase;
    private final Basis basis;
    private final String from;

    ConfigurationFigures(Demand demand, Slopes slopes) {
        this.demand = demand;
        double measured = slopes.latest().stream()
                .filter(run -> run.databases() >= demand.databases())
                .mapToDouble(run -> run.value(Metric.DOCUMENT_BYTES))
                .filter(bytes -> !Double.isNaN(bytes))
                .max()
                .orElse(Double.NaN);
        boolean known = !Double.isNaN(measured);
        documentBytes = known ? measured : demand.databases() * Assumptions.DOCUMENT_BYTES_PER_DATABASE;
        bytesPerDatabase = documentBytes / demand.databases();
        basis = known ? Basis.COMPUTED : Basis.GUESSED;
        from = known ? "the runs' documents" : "guessed part for each database";
    }

    /** Returns the size of a document of all databases in bytes. */
    double documentBytes() {
        return documentBytes;
    }

    /** Returns the basis of the document's size. */
    Basis basis() {
        return basis;
    }

    List<Figure> figures() {
        List<Figure> out = new ArrayList<>();
        out.add(new Figure(
                "document of all databases",
                documentBytes,
                ReplicatedState.MAX_DOCUMENT_BYTES,
                Unit.BYTES,
                failsAt(documentBytes, ReplicatedState.MAX_DOCUMENT_BYTES),
                "databases",
                basis == Basis.COMPUTED ? Basis.MEASURED : basis,
                from,
                "statemachine/ReplicatedState.java"));
        out.add(bytes("whole documents at a pooler, mean of the day", documentBytes, 1, basis));
        out.add(bytes(
                "whole documents at a pooler, in busy hours",
                documentBytes,
                Assumptions.BUSY_HOURS_RATIO,
                Basis.GUESSED));
        out.add(Figure.plain(
                "largest part of a database with which whole documents fit in the mean",
                demand.controlBytesPerSecond() / demand.changesPerSecond() / demand.databases(),
                Unit.BYTES,
                Basis.COMPUTED,
                "the budget alone",
                ""));
        out.add(oneFullDocument());
        out.add(bytes(
                "one database's difference at a pooler, mean of the day", bytesPerDatabase + ENVELOPE_BYTES, 1, basis));
        double farApart =
                DocumentDifferences.farApart(demand.databases(), (int) Math.round(bytesPerDatabase)) + ENVELOPE_BYTES;
        out.add(bytes("one difference of three databases far apart at a pooler, mean of the day", farApart, 1, basis));
        out.add(bytes(
                "one difference of three databases far apart at a pooler, in busy hours",
                farApart,
                Assumptions.BUSY_HOURS_RATIO,
                Basis.GUESSED));
        out.add(Figure.of(
                        "whole document to all poolers within 6 s, over three control members",
                        documentBytes
                                * demand.poolers()
                                / demand.controlMembers()
                                / Assumptions.CONTROL_LINK_BYTES_PER_SECOND,
                        demand.inForceSeconds(),
                        Unit.SECONDS,
                        Basis.GUESSED,
                        from + "; the link is a guess",
                        "subscription/FullDocumentLimiter.java")
                .withScope(Figure.Scope.SUBSCRIPTIONS));
        out.add(Figure.plain(
                "log of one day, each change a whole document",
                documentBytes * demand.changesPerDay(),
                Unit.BYTES,
                basis,
                from,
                "replication/SegmentedLog.java"));
        return out;
    }

    private double failsAt(double need, double budget) {
        return need > budget ? Math.floor(budget / need * demand.databases()) + 1 : Double.NaN;
    }

    private Figure bytes(String what, double size, double factor, Basis known) {
        double need = size * factor * demand.changesPerSecond();
        double failsAt = failsAt(need, demand.controlBytesPerSecond());
        boolean difference = what.startsWith("one");
        return new Figure(
                what,
                need,
                demand.controlBytesPerSecond(),
                Unit.BYTES_PER_SECOND,
                failsAt,
                "databases",
                known,
                from,
                difference ? "subscription/DocumentDelta.java" : "replication/RaftReplica.java",
                difference ? Figure.Scope.SUBSCRIPTIONS : Figure.Scope.MEMBERS);
    }

    private Figure oneFullDocument() {
        double seconds = documentBytes / demand.controlBytesPerSecond();
        return new Figure(
                "one whole document, were the budget to hold in each second",
                seconds,
                demand.inForceSeconds(),
                Unit.SECONDS,
                failsAt(seconds, demand.inForceSeconds()),
                "databases",
                basis,
                from,
                "replication/RaftReplica.java");
    }
}
