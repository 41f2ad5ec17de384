package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeMap;
import lupinvalve.capacity.Slopes.Design;

/** Results of scale runs for each role, with poolers as members (before) and as subscribers (after). */
final class RoleFigures {
    private static final String MEMBERS_SOURCE_FILE = "replication/RaftReplica.java";
    private static final String SUBSCRIPTIONS_SOURCE_FILE = "replication/Subscriber.java";
    /** Metrics that {@link FailureTable} shows. */
    private static final Set<Metric> LISTED_BY_FAILURE = EnumSet.of(
            Metric.FAILOVER_MS, Metric.RACK_READY_MS, Metric.HERD_READY_MS, Metric.REGION_READY_MS, Metric.JOIN_MS);

    private final Demand demand;
    private final Slopes slopes;

    RoleFigures(Demand demand, Slopes slopes) {
        this.demand = demand;
        this.slopes = slopes;
    }

    /** Returns a figure per metric for a design. */
    List<Figure> figures(Design design) {
        List<Figure> out = new ArrayList<>();
        Figure.Scope scope = design == Design.MEMBERS ? Figure.Scope.MEMBERS : Figure.Scope.SUBSCRIPTIONS;
        for (Metric metric : Metric.values()) {
            Estimate estimate = Estimate.of(slopes, design, metric, demand);
            out.add(new Figure(
                    metric.label(),
                    estimate.value(),
                    metric.budget(demand),
                    metric.unit(),
                    estimate.failsAt(),
                    "poolers",
                    estimate.basis(),
                    estimate.from(),
                    design == Design.MEMBERS ? MEMBERS_SOURCE_FILE : SUBSCRIPTIONS_SOURCE_FILE,
                    scope));
        }
        return out;
    }

    /**
     * Creates a table with one row per metric, members before and subscriptions after, without the metrics that the
     * page lists by failure.
     */
    Table beforeAndAfter() {
        Table table = new Table(
                "before-after",
                List.of(
                        "what",
                        "budget",
                        "members: largest run",
                        "needed at 910",
                        "ratio",
                        "fails from",
                        "known by",
                        "subscriptions: largest run",
                        "needed at 910",
                        "ratio",
                        "fails from",
                        "known by"));
        List<Figure> before = figures(Design.MEMBERS);
        List<Figure> after = figures(Design.SUBSCRIPTIONS);
        for (int i = 0; i < before.size(); i++) {
            if (!LISTED_BY_FAILURE.contains(Metric.values()[i])) {
                Figure one = before.get(i);
                Figure other = after.get(i);
                table.addRow(
                        one.what(),
                        one.budgetText(),
                        Estimate.largest(slopes, Design.MEMBERS, Metric.values()[i]),
                        one.needText(),
                        one.ratioText(),
                        Table.failsFrom(one),
                        basisText(one),
                        Estimate.largest(slopes, Design.SUBSCRIPTIONS, Metric.values()[i]),
                        other.needText(),
                        other.ratioText(),
                        Table.failsFrom(other),
                        basisText(other));
            }
        }
        return table;
    }

    private static String basisText(Figure figure) {
        return figure.from().equals("no run")
                ? figure.basis().word()
                : figure.basis().word() + ": " + figure.from();
    }

    /**
     * Creates a table with one run per design, size and trial: of those with the most databases the one with the worst
     * p99. Failed runs are listed too.
     */
    Table runs() {
        Table table = new Table(
                "runs",
                List.of(
                        "design",
                        "run",
                        "commit",
                        "in force p50, p99, worst (ms)",
                        "pooler: cores, bytes a second, MB",
                        "leader: cores, bytes a second",
                        "ended"));
        TreeMap<String, Slopes.Run> shown = new TreeMap<>();
        for (Slopes.Run run : slopes.latest()) {
            String size = String.format(
                    Locale.ROOT,
                    "%s %06d %s %s",
                    run.design(),
                    run.poolers(),
                    run.trial(),
                    run.completed() ? "" : "failed");
            shown.merge(size, run, RoleFigures::moreSignificant);
        }
        for (Slopes.Run run : shown.values()) {
            table.addRow(
                    run.design().name().toLowerCase(Locale.ROOT),
                    run.description(),
                    run.commit() == null ? slopes.commit() : run.commit(),
                    values(run, Metric.IN_FORCE_P50_MS, Metric.IN_FORCE_P99_MS, Metric.IN_FORCE_MAX_MS),
                    values(run, Metric.CONTROL_CPU_CORE, Metric.CONTROL_BYTES_PER_S, Metric.CONTROL_RSS_MB),
                    values(run, Metric.LEADER_CPU_CORE, Metric.LEADER_BYTES_PER_S),
                    run.ended());
        }
        if (shown.isEmpty()) {
            table.addRow("not run", "", "", "", "", "", "");
        }
        return table;
    }

    private static Slopes.Run moreSignificant(Slopes.Run one, Slopes.Run other) {
        if (one.databases() != other.databases()) {
            return one.databases() > other.databases() ? one : other;
        }
        return other.value(Metric.IN_FORCE_P99_MS) > one.value(Metric.IN_FORCE_P99_MS) ? other : one;
    }

    private static String values(Slopes.Run run, Metric... metrics) {
        List<String> out = new ArrayList<>();
        for (Metric metric : metrics) {
            double value = run.value(metric);
            out.add(Double.isNaN(value) ? "-" : Unit.number(value));
        }
        return String.join(", ", out);
    }
}
