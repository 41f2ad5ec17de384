package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Figures for the connections that poolers hold to a db node, and for the cost of holding fewer. */
final class ConnectionFigures {
    private static final int SIMULATED_REQUESTS = 100_000;
    private static final long SEED = 34;
    private static final double[] IDLE_SECONDS = {10.5, 5, 2, 1, 0.5, 0.25};
    private static final int[] SUBSET_POOLERS = {910, 455, 130, 64, 32};
    private static final double PRESENT_IDLE_SECONDS = 10.5;
    private final Demand demand;

    ConnectionFigures(Demand demand) {
        this.demand = demand;
    }

    List<Figure> figures() {
        List<Figure> out = new ArrayList<>();
        RestingConnections.Outcome allPoolers = simulate(demand.poolers(), PRESENT_IDLE_SECONDS);
        for (Setting setting : Setting.all()) {
            out.add(places(setting, allPoolers, setting.connectionSlots().min(), "fewest"));
            out.add(places(setting, allPoolers, setting.connectionSlots().max(), "most"));
        }
        out.add(Figure.plain(
                "agreed share of the fewest half of places for one of 910 poolers",
                Setting.RECIFE.connectionSlots().min() / 2 / demand.poolers(),
                Unit.COUNT,
                Basis.COMPUTED,
                "under 1: shares alone can't do it",
                ""));
        out.add(Figure.plain(
                "connections of one pooler to all db nodes",
                demand.databases() * allPoolers.open(),
                Unit.COUNT,
                Basis.COMPUTED,
                "virtual time",
                "net/Pool.java"));
        return out;
    }

    private Figure places(Setting setting, RestingConnections.Outcome allPoolers, double places, String which) {
        double need = allPoolers.exceededOnceIn1000(demand.poolers());
        double failsAt = need > places / 2 ? Math.floor(places / 2 / need * demand.poolers()) + 1 : Double.NaN;
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

    private RestingConnections.Outcome simulate(double poolers, double idleSeconds) {
        return RestingConnections.simulate(
                demand.statementsPerDatabase() / poolers,
                Assumptions.STATEMENT_SECONDS,
                RestingConnections.IdleTimes.of(idleSeconds),
                SIMULATED_REQUESTS,
                SEED);
    }

    /** Creates a table for all poolers with shorter idle times. */
    Table closingSooner() {
        Table table = new Table(
                "closing-sooner",
                List.of(
                        "closed after",
                        "connections at a db node (once in 1,000)",
                        "handshakes at a db node",
                        "cores for them, from the cheapest to the dearest",
                        "requests that wait for one"));
        for (double idleSeconds : IDLE_SECONDS) {
            RestingConnections.Outcome outcome = simulate(demand.poolers(), idleSeconds);
            table.addRow(
                    Unit.SECONDS.format(idleSeconds),
                    connections(outcome, demand.poolers()),
                    handshakes(outcome),
                    cores(outcome),
                    percent(outcome.handshakeRatio()));
        }
        return table;
    }

    /**
     * Creates a table for subsets of poolers per db node with the present idle time. The spread of the poolers' load
     * assumes that the standard deviation of the databases' loads equals their mean.
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
        for (int subset : SUBSET_POOLERS) {
            double databases = Math.ceil((double) demand.databases() * subset / demand.poolers());
            RestingConnections.Outcome outcome = simulate(subset, PRESENT_IDLE_SECONDS);
            table.addRow(
                    Unit.number(subset),
                    connections(outcome, subset),
                    handshakes(outcome),
                    percent(outcome.handshakeRatio()),
                    Unit.PER_SECOND.format(demand.statementsPerDatabase() / subset),
                    Unit.number(databases),
                    percent(1 / Math.sqrt(databases)));
        }
        return table;
    }

    private static String connections(RestingConnections.Outcome outcome, double poolers) {
        return Unit.number(poolers * outcome.open()) + " (" + Unit.number(outcome.exceededOnceIn1000(poolers)) + ")";
    }

    private String handshakes(RestingConnections.Outcome outcome) {
        return Unit.PER_SECOND.format(outcome.handshakeRatio() * demand.statementsPerDatabase());
    }

    private String cores(RestingConnections.Outcome outcome) {
        double perSecond = outcome.handshakeRatio() * demand.statementsPerDatabase();
        Setting.Range cost = Setting.ALMATY.handshakeCoreSeconds();
        return Unit.number(perSecond * cost.min()) + " to " + Unit.number(perSecond * cost.max());
    }

    private static String percent(double ratio) {
        return String.format(Locale.ROOT, ratio < 0.001 ? "%.3f%%" : "%.1f%%", ratio * 100);
    }
}
