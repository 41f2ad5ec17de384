package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.List;

/** What poolers learn of db nodes, each alone, and what all of them together send. */
final class DatabaseFigures {
    private static final double EULER = 0.5772;
    private final Demand d;

    DatabaseFigures(Demand demand) {
        d = demand;
    }

    List<Figure> figures() {
        List<Figure> out = new ArrayList<>();
        out.add(Figure.plain(
                "statements of a pooler at a db node",
                d.statementsPerPair(),
                Unit.PER_SECOND,
                Basis.COMPUTED,
                "the demand alone",
                ""));
        out.add(new Figure(
                "least bound on attempts out at a db node, all poolers' summed",
                d.poolers(),
                CodeFacts.LIMIT_START,
                Unit.COUNT,
                CodeFacts.LIMIT_START + 1,
                "poolers",
                Basis.COMPUTED,
                "each may have one out; `InFlightLimit.INITIAL_ATTEMPTS` is meant for all",
                "routing/InFlightLimit.java"));
        out.add(picture());
        out.add(Figure.of(
                "the last of all poolers to find it out, in the mean",
                lastToLearn(d),
                d.primaryChangeSeconds(),
                Unit.SECONDS,
                Basis.COMPUTED,
                "random arrivals, each pooler alone",
                "routing/OutlierDetection.java"));
        out.add(Figure.plain(
                "requests lost to that, one a pooler at least",
                d.poolers(),
                Unit.COUNT,
                Basis.COMPUTED,
                "an error shuns at once",
                "routing/OutlierDetection.java"));
        out.add(Figure.plain(
                "first tries of all poolers at a set of which none is warm",
                CodeFacts.COLD_ALONE,
                Unit.COUNT,
                Basis.COMPUTED,
                "drawn at random, ten in all; spread of the sum 3.2",
                "routing/SlowStart.java"));
        out.add(arrivals());
        for (Setting setting : Setting.all()) {
            out.add(probes(setting));
        }
        out.add(Figure.of(
                "probes of a pooler, were they counted as control",
                probesOfPooler() * Assumptions.PROBE_BYTES,
                d.controlBytesPerSecond(),
                Unit.BYTES_PER_SECOND,
                Basis.GUESSED,
                "`SPARSE_BUDGET_PER_REQUEST_CHECKS`; a probe's bytes are a guess",
                "routing/HealthChecker.java"));
        return out;
    }

    /** By when all have asked a db node once, in the mean. */
    static double lastToLearn(Demand d) {
        return (Math.log(d.poolers()) + EULER) / d.statementsPerPair();
    }

    private Figure picture() {
        double heard = d.statementsPerPair() * CodeFacts.MEMORY_SECONDS;
        return Figure.of(
                        "answers needed for a picture of a db node of one's own, against those heard while they count",
                        CodeFacts.ANSWERS_FOR_A_PICTURE,
                        heard,
                        Unit.COUNT,
                        Basis.COMPUTED,
                        "`DecayingMean.MAX_SAMPLES` against 3 s of answers; leans on the " + "group's mean",
                        "routing/DecayingMean.java")
                .in(Figure.Scope.OPTION);
    }

    /** A pooler that comes knows no db node: each first request needs a connection, all of a herd at once. */
    private Figure arrivals() {
        double perSecond = d.herd() * d.statementsPerPair();
        Setting.Range cost = Setting.ALMATY.handshakeCoreSeconds();
        return Figure.of(
                "handshakes at a db node as 130 poolers come at once, cores at the dearest",
                perSecond * cost.most(),
                Assumptions.DB_NODE_CORES * Assumptions.OVERHEAD_PART,
                Unit.CORES,
                Basis.GUESSED,
                "the settings' `handshake_us`; the part " + "of a db node is a guess",
                "net/Pool.java");
    }

    private double probesOfPooler() {
        return d.statementsPerPooler() * CodeFacts.PROBES_PER_REQUEST;
    }

    private Figure probes(Setting setting) {
        double perSecond = d.statementsPerDatabase() * CodeFacts.PROBES_PER_REQUEST;
        return Figure.of(
                setting.name() + ": probes at a db node, cores at the dearest",
                perSecond * setting.probeCoreSeconds().most(),
                Assumptions.DB_NODE_CORES * Assumptions.OVERHEAD_PART,
                Unit.CORES,
                Basis.GUESSED,
                "`SPARSE_BUDGET_PER_REQUEST_CHECKS`, the settings' `work_us`; the part is a guess",
                "routing/HealthChecker.java");
    }
}
