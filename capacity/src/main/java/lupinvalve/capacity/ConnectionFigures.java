package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Connections that poolers hold to a db node, and what fewer of them cost. */
final class ConnectionFigures {
    private static final int REQUESTS = 100_000;
    private static final long SEED = 34;
    private static final double[] RESTS = {10.5, 5, 2, 1, 0.5, 0.25};
    private static final int[] SUBSETS = {910, 455, 130, 64, 32};
    private static final double SUBSET_REST = 10.5;
    private final Demand d;

    ConnectionFigures(Demand demand) {
        d = demand;
    }

    List<Figure> figures() {
        List<Figure> out = new ArrayList<>();
        RestingConnections.Outcome now = play(d.poolers(), SUBSET_REST);
        for (Setting setting : Setting.all()) {
            out.add(places(setting, now, setting.places().least(), "fewest"));
            out.add(places(setting, now, setting.places().most(), "most"));
        }
        out.add(Figure.plain(
                "agreed share of the fewest half of places for one of 910 poolers",
                Setting.RECIFE.places().least() / 2 / d.poolers(),
                Unit.COUNT,
                Basis.COMPUTED,
                "under 1: shares alone can't do it",
                ""));
        out.add(Figure.plain(
                "connections of one pooler to all db nodes",
                d.databases() * now.open(),
                Unit.COUNT,
                Basis.COMPUTED,
                "virtual time",
                "net/Pool.java"));
        return out;
    }

    private Figure places(Setting setting, RestingConnections.Outcome now, double places, String which) {
        double need = now.atDatabase(d.poolers());
        double failsAt = need > places / 2 ? Math.floor(places / 2 / need * d.poolers()) + 1 : Double.NaN;
        return new Figure(
                setting.name() + ": connections at a db node against half of its places, " + which,
                need,
                places / 2,
                Unit.COUNT,
                failsAt,
                "poolers",
                Basis.COMPUTED,
                "virtual time, `RestingConnections`",
                "net/Pool.java");
    }

    private RestingConnections.Outcome play(double poolers, double rest) {
        return RestingConnections.play(
                d.statementsPerDatabase() / poolers,
                Assumptions.STATEMENT_SECONDS,
                RestingConnections.Rests.of(rest),
                REQUESTS,
                SEED);
    }

    /** All 910 poolers, with connections closed sooner. */
    Table closingSooner() {
        Table table = new Table(
                "closing-sooner",
                List.of(
                        "closed after",
                        "connections at a db node (once in 1,000)",
                        "handshakes at a db node",
                        "cores for them, from the cheapest to the dearest",
                        "requests that wait for one"));
        for (double rest : RESTS) {
            RestingConnections.Outcome outcome = play(d.poolers(), rest);
            table.row(
                    Unit.SECONDS.words(rest),
                    connections(outcome, d.poolers()),
                    handshakes(outcome),
                    cores(outcome),
                    percent(outcome.newPart()));
        }
        return table;
    }

    /**
     * So many poolers before each db node, resting as today; the load's spread takes databases' loads to vary as much
     * as their mean.
     */
    Table subsets() {
        Table table = new Table(
                "subsets",
                List.of(
                        "poolers before a db node",
                        "connections at it (once in 1,000)",
                        "handshakes",
                        "requests that wait for one",
                        "a pooler's statements at it",
                        "databases of a pooler",
                        "poolers' load off its mean (guessed)"));
        for (int subset : SUBSETS) {
            double databases = Math.ceil((double) d.databases() * subset / d.poolers());
            RestingConnections.Outcome outcome = play(subset, SUBSET_REST);
            table.row(
                    Unit.number(subset),
                    connections(outcome, subset),
                    handshakes(outcome),
                    percent(outcome.newPart()),
                    Unit.PER_SECOND.words(d.statementsPerDatabase() / subset),
                    Unit.number(databases),
                    percent(1 / Math.sqrt(databases)));
        }
        return table;
    }

    private static String connections(RestingConnections.Outcome outcome, double poolers) {
        return Unit.number(poolers * outcome.open()) + " (" + Unit.number(outcome.atDatabase(poolers)) + ")";
    }

    private String handshakes(RestingConnections.Outcome outcome) {
        return Unit.PER_SECOND.words(outcome.newPart() * d.statementsPerDatabase());
    }

    private String cores(RestingConnections.Outcome outcome) {
        double perSecond = outcome.newPart() * d.statementsPerDatabase();
        Setting.Range cost = Setting.ALMATY.handshakeCoreSeconds();
        return Unit.number(perSecond * cost.least()) + " to " + Unit.number(perSecond * cost.most());
    }

    private static String percent(double part) {
        return String.format(Locale.ROOT, part < 0.001 ? "%.3f%%" : "%.1f%%", part * 100);
    }
}
