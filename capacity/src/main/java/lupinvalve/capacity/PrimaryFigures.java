package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.List;

/** Figures for a change of primary, and for simultaneous changes of all primaries of a zone. */
final class PrimaryFigures {
    /** A pause between probes is randomized by up to a quarter. */
    private static final double PROBE_JITTER_RATIO = 1.25;

    private final Demand demand;

    PrimaryFigures(Demand demand) {
        this.demand = demand;
    }

    List<Figure> figures() {
        List<Figure> out = new ArrayList<>();
        for (Setting setting : Setting.all()) {
            double elect = setting.electSeconds().max();
            double round = CodeFacts.PRIMARY_CHECK_ROUND_SECONDS
                    * PROBE_JITTER_RATIO
                    * setting.members().max();
            out.add(Figure.of(
                    setting.name() + ": detected and elected by the db set itself, at most",
                    elect,
                    demand.primaryChangeSeconds(),
                    Unit.SECONDS,
                    Basis.COMPUTED,
                    "`detect_s` + `elect_s`",
                    "db set"));
            out.add(Figure.of(
                    setting.name() + ": one held write's round of all members",
                    round,
                    demand.primaryChangeSeconds() - elect,
                    Unit.SECONDS,
                    Basis.COMPUTED,
                    "`PrimarySearch.CHECK_ROUND_MICROS`, against what is left of 9 s",
                    "routing/PrimarySearch.java"));
            out.add(atMember(setting));
        }
        out.add(zonesShare(Setting.ALMATY));
        out.add(Figure.of(
                        "the last pooler to ask the db set by itself, in the mean, after the longest election",
                        Setting.RECIFE.electSeconds().max() + DatabaseFigures.lastToLearn(demand),
                        demand.primaryChangeSeconds(),
                        Unit.SECONDS,
                        Basis.COMPUTED,
                        "random arrivals; a pooler that holds no request waits for nothing",
                        "routing/PrimarySearch.java")
                .withScope(Figure.Scope.OPTION));
        return out;
    }

    private Figure atMember(Setting setting) {
        double perSecond = demand.poolers() / CodeFacts.PRIMARY_CHECK_ROUND_SECONDS;
        return Figure.of(
                setting.name() + ": probes at each member while the primary is missing, cores at the dearest",
                perSecond * setting.probeCoreSeconds().max(),
                Assumptions.DB_NODE_CORES * Assumptions.OVERHEAD_RATIO,
                Unit.CORES,
                Basis.GUESSED,
                "each pooler holds requests; the part of a db node is a guess",
                "routing/PrimarySearch.java");
    }

    private Figure zonesShare(Setting setting) {
        double sets = demand.databasesPerZone() / setting.members().min();
        double probes = sets * setting.members().min() / CodeFacts.PRIMARY_CHECK_ROUND_SECONDS;
        return Figure.of(
                setting.name() + ": a zone's primaries at once, probes of a pooler were they counted as control",
                probes * Assumptions.PROBE_BYTES,
                demand.controlBytesPerSecond(),
                Unit.BYTES_PER_SECOND,
                Basis.GUESSED,
                Unit.number(sets) + " sets at once; a probe's bytes are a guess",
                "routing/PrimarySearch.java");
    }
}
