package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.List;

/** Figures for what each pooler learns about db nodes on its own, and for what all poolers together send. */
final class DatabaseFigures {
    private static final double EULER_MASCHERONI = 0.5772;
    private final Demand demand;

    DatabaseFigures(Demand demand) {
        this.demand = demand;
    }

    List<Figure> figures() {
        List<Figure> out = new ArrayList<>();
        out.add(Figure.plain(
                "statements of a pooler at a db node",
                demand.statementsPerPair(),
                Unit.PER_SECOND,
                Basis.COMPUTED,
                "the demand alone",
                ""));
        out.add(new Figure(
                "least bound on attempts out at a db node, all poolers' summed",
                demand.poolers(),
                CodeFacts.INITIAL_ATTEMPTS,
                Unit.COUNT,
                CodeFacts.INITIAL_ATTEMPTS + 1,
                "poolers",
                Basis.COMPUTED,
                "each may have one out; `InFlightLimit.INITIAL_ATTEMPTS` is meant for all",
                "routing/InFlightLimit.java"));
        out.add(ownSamples());
        out.add(Figure.of(
                "the last of all poolers to find it out, in the mean",
                lastToLearn(demand),
                demand.primaryChangeSeconds(),
                Unit.SECONDS,
                Basis.COMPUTED,
                "random arrivals, each pooler alone",
                "routing/OutlierDetection.java"));
        out.add(Figure.plain(
                "requests lost to that, one a pooler at least",
                demand.poolers(),
                Unit.COUNT,
                Basis.COMPUTED,
                "an error shuns at once",
                "routing/OutlierDetection.java"));
        out.add(Figure.plain(
                "first tries of all poolers at a set of which none is warm",
                CodeFacts.COLD_ATTEMPTS,
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
                demand.controlBytesPerSecond(),
                Unit.BYTES_PER_SECOND,
                Basis.GUESSED,
                "`SPARSE_BUDGET_PER_REQUEST_CHECKS`; a probe's bytes are a guess",
                "routing/HealthChecker.java"));
        return out;
    }

    /** Returns the mean time in seconds until every pooler has sent a request to a db node. */
    static double lastToLearn(Demand demand) {
        return (Math.log(demand.poolers()) + EULER_MASCHERONI) / demand.statementsPerPair();
    }

    private Figure ownSamples() {
        double samples = demand.statementsPerPair() * CodeFacts.SAMPLE_DECAY_SECONDS;
        return Figure.of(
                        "answers needed for a picture of a db node of one's own, against those heard while they count",
                        CodeFacts.MAX_SAMPLES,
                        samples,
                        Unit.COUNT,
                        Basis.COMPUTED,
                        "`DecayingMean.MAX_SAMPLES` against 3 s of answers; leans on the " + "group's mean",
                        "routing/DecayingMean.java")
                .withScope(Figure.Scope.OPTION);
    }

    /**
     * Figure for new poolers that have no connections yet: the first request to each db node needs one, from all of
     * them at the same time.
     */
    private Figure arrivals() {
        double perSecond = demand.herd() * demand.statementsPerPair();
        Setting.Range cost = Setting.ALMATY.handshakeCoreSeconds();
        return Figure.of(
                "handshakes at a db node as 130 poolers come at once, cores at the dearest",
                perSecond * cost.max(),
                Assumptions.DB_NODE_CORES * Assumptions.OVERHEAD_RATIO,
                Unit.CORES,
                Basis.GUESSED,
                "the settings' `handshake_us`; the part " + "of a db node is a guess",
                "net/Pool.java");
    }

    private double probesOfPooler() {
        return demand.statementsPerPooler() * CodeFacts.PROBES_PER_REQUEST;
    }

    private Figure probes(Setting setting) {
        double perSecond = demand.statementsPerDatabase() * CodeFacts.PROBES_PER_REQUEST;
        return Figure.of(
                setting.name() + ": probes at a db node, cores at the dearest",
                perSecond * setting.probeCoreSeconds().max(),
                Assumptions.DB_NODE_CORES * Assumptions.OVERHEAD_RATIO,
                Unit.CORES,
                Basis.GUESSED,
                "`SPARSE_BUDGET_PER_REQUEST_CHECKS`, the settings' `work_us`; the part is a guess",
                "routing/HealthChecker.java");
    }
}
