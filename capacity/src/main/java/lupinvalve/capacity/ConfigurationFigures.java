package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.List;
import lupinvalve.statemachine.ReplicatedState;

/** What a document of all databases costs, sent whole and as differences. */
final class ConfigurationFigures {
    /** Revision, change, digest, lease and lengths beside a difference. */
    private static final double ENVELOPE = 80;

    private final Demand d;
    private final double document;
    private final double part;
    private final Basis basis;
    private final String from;

    ConfigurationFigures(Demand demand, Slopes slopes) {
        d = demand;
        double measured = slopes.latest().stream()
                .filter(run -> run.databases() >= demand.databases())
                .mapToDouble(run -> run.value(Metric.DOCUMENT_BYTES))
                .filter(bytes -> !Double.isNaN(bytes))
                .max()
                .orElse(Double.NaN);
        boolean known = !Double.isNaN(measured);
        document = known ? measured : demand.databases() * Assumptions.DOCUMENT_BYTES_PER_DATABASE;
        part = document / demand.databases();
        basis = known ? Basis.COMPUTED : Basis.GUESSED;
        from = known ? "the runs' documents" : "guessed part for each database";
    }

    /** Bytes of a document of all databases. */
    double document() {
        return document;
    }

    /** How that is known. */
    Basis basis() {
        return basis;
    }

    List<Figure> figures() {
        List<Figure> out = new ArrayList<>();
        out.add(new Figure(
                "document of all databases",
                document,
                ReplicatedState.MAX_DOCUMENT_BYTES,
                Unit.BYTES,
                failsAt(document, ReplicatedState.MAX_DOCUMENT_BYTES),
                "databases",
                basis == Basis.COMPUTED ? Basis.MEASURED : basis,
                from,
                "statemachine/ReplicatedState.java"));
        out.add(bytes("whole documents at a pooler, mean of the day", document, 1, basis));
        out.add(bytes("whole documents at a pooler, in busy hours", document, Assumptions.BUSY_FACTOR, Basis.GUESSED));
        out.add(Figure.plain(
                "largest part of a database with which whole documents fit in the mean",
                d.controlBytesPerSecond() / d.changesPerSecond() / d.databases(),
                Unit.BYTES,
                Basis.COMPUTED,
                "the budget alone",
                ""));
        out.add(oneWhole());
        out.add(bytes("one database's difference at a pooler, mean of the day", part + ENVELOPE, 1, basis));
        double farApart = DocumentDifferences.farApart(d.databases(), (int) Math.round(part)) + ENVELOPE;
        out.add(bytes("one difference of three databases far apart at a pooler, mean of the day", farApart, 1, basis));
        out.add(bytes(
                "one difference of three databases far apart at a pooler, in busy hours",
                farApart,
                Assumptions.BUSY_FACTOR,
                Basis.GUESSED));
        out.add(Figure.of(
                        "whole document to all poolers within 6 s, over three control members",
                        document * d.poolers() / d.controlMembers() / Assumptions.CONTROL_LINK_BYTES_PER_SECOND,
                        d.inForceSeconds(),
                        Unit.SECONDS,
                        Basis.GUESSED,
                        from + "; the link is a guess",
                        "subscription/FullDocumentLimiter.java")
                .in(Figure.Scope.SUBSCRIPTIONS));
        out.add(Figure.plain(
                "log of one day, each change a whole document",
                document * d.changesPerDay(),
                Unit.BYTES,
                basis,
                from,
                "replication/SegmentedLog.java"));
        return out;
    }

    private double failsAt(double need, double budget) {
        return need > budget ? Math.floor(budget / need * d.databases()) + 1 : Double.NaN;
    }

    private Figure bytes(String what, double size, double factor, Basis known) {
        double need = size * factor * d.changesPerSecond();
        double failsAt = failsAt(need, d.controlBytesPerSecond());
        boolean difference = what.startsWith("one");
        return new Figure(
                what,
                need,
                d.controlBytesPerSecond(),
                Unit.BYTES_PER_SECOND,
                failsAt,
                "databases",
                known,
                from,
                difference ? "subscription/DocumentDelta.java" : "replication/RaftReplica.java",
                difference ? Figure.Scope.SUBSCRIPTIONS : Figure.Scope.MEMBERS);
    }

    private Figure oneWhole() {
        double seconds = document / d.controlBytesPerSecond();
        return new Figure(
                "one whole document, were the budget to hold in each second",
                seconds,
                d.inForceSeconds(),
                Unit.SECONDS,
                failsAt(seconds, d.inForceSeconds()),
                "databases",
                basis,
                from,
                "replication/RaftReplica.java");
    }
}
