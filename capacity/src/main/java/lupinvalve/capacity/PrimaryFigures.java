package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.List;

/** A change of primary, and a zone's share of them at once. */
final class PrimaryFigures {
    /** A pause between probes is spread by up to a quarter. */
    private static final double SPREAD = 1.25;

    private final Demand d;

    PrimaryFigures(Demand demand) {
        d = demand;
    }

    List<Figure> figures() {
        List<Figure> out = new ArrayList<>();
        for (Setting setting : Setting.all()) {
            double elect = setting.electSeconds().most();
            double round =
                    CodeFacts.CHANGE_PROBE_SECONDS * SPREAD * setting.members().most();
            out.add(Figure.of(
                    setting.name() + ": detected and elected by the db set itself, at most",
                    elect,
                    d.primaryChangeSeconds(),
                    Unit.SECONDS,
                    Basis.COMPUTED,
                    "`detect_s` + `elect_s`",
                    "db set"));
            out.add(Figure.of(
                    setting.name() + ": one held write's round of all members",
                    round,
                    d.primaryChangeSeconds() - elect,
                    Unit.SECONDS,
                    Basis.COMPUTED,
                    "`PrimarySearch.CHECK_ROUND_MICROS`, against what is left of 9 s",
                    "routing/PrimarySearch.java"));
            out.add(atMember(setting));
        }
        out.add(zonesShare(Setting.ALMATY));
        out.add(Figure.of(
                        "the last pooler to ask the db set by itself, in the mean, after the longest election",
                        Setting.RECIFE.electSeconds().most() + DatabaseFigures.lastToLearn(d),
                        d.primaryChangeSeconds(),
                        Unit.SECONDS,
                        Basis.COMPUTED,
                        "random arrivals; a pooler that holds no request waits for nothing",
                        "routing/PrimarySearch.java")
                .in(Figure.Scope.OPTION));
        return out;
    }

    private Figure atMember(Setting setting) {
        double perSecond = d.poolers() / CodeFacts.CHANGE_PROBE_SECONDS;
        return Figure.of(
                setting.name() + ": probes at each member while the primary is missing, cores at the dearest",
                perSecond * setting.probeCoreSeconds().most(),
                Assumptions.DB_NODE_CORES * Assumptions.OVERHEAD_PART,
                Unit.CORES,
                Basis.GUESSED,
                "each pooler holds requests; the part of a db node is a guess",
                "routing/PrimarySearch.java");
    }

    private Figure zonesShare(Setting setting) {
        double sets = d.databasesPerZone() / setting.members().least();
        double probes = sets * setting.members().least() / CodeFacts.CHANGE_PROBE_SECONDS;
        return Figure.of(
                setting.name() + ": a zone's primaries at once, probes of a pooler were they counted as control",
                probes * Assumptions.PROBE_BYTES,
                d.controlBytesPerSecond(),
                Unit.BYTES_PER_SECOND,
                Basis.GUESSED,
                Unit.number(sets) + " sets at once; a probe's bytes are a guess",
                "routing/PrimarySearch.java");
    }
}
