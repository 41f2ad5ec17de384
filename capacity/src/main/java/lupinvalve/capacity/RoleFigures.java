package lupinvalve.capacity;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeMap;
import lupinvalve.capacity.Slopes.Design;

/** What scale runs tell of each role, before and after. */
final class RoleFigures {
    private static final String MEMBERS_BY = "replication/RaftReplica.java";
    private static final String SUBSCRIPTIONS_BY = "replication/Subscriber.java";
    /** What {@link FailureTable} tells. */
    private static final Set<Metric> BY_FAILURE = EnumSet.of(
            Metric.FAILOVER_MS, Metric.RACK_READY_MS, Metric.HERD_READY_MS, Metric.REGION_READY_MS, Metric.JOIN_MS);

    private final Demand d;
    private final Slopes slopes;

    RoleFigures(Demand demand, Slopes slopes) {
        d = demand;
        this.slopes = slopes;
    }

    /** All metrics that have a budget, of one design. */
    List<Figure> figures(Design design) {
        List<Figure> out = new ArrayList<>();
        Figure.Scope scope = design == Design.MEMBERS ? Figure.Scope.MEMBERS : Figure.Scope.SUBSCRIPTIONS;
        for (Metric metric : Metric.values()) {
            Estimate estimate = Estimate.of(slopes, design, metric, d);
            out.add(new Figure(
                    metric.words(),
                    estimate.value(),
                    metric.budget(d),
                    metric.unit(),
                    estimate.failsAt(),
                    "poolers",
                    estimate.basis(),
                    estimate.from(),
                    design == Design.MEMBERS ? MEMBERS_BY : SUBSCRIPTIONS_BY,
                    scope));
        }
        return out;
    }

    /** Each metric once, members before and subscriptions after; what the page tells by failure is left out. */
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
            if (!BY_FAILURE.contains(Metric.values()[i])) {
                Figure one = before.get(i);
                Figure other = after.get(i);
                table.row(
                        one.what(),
                        one.budgetWords(),
                        Estimate.largest(slopes, Design.MEMBERS, Metric.values()[i]),
                        one.needWords(),
                        one.ratioWords(),
                        Table.failsFrom(one),
                        known(one),
                        Estimate.largest(slopes, Design.SUBSCRIPTIONS, Metric.values()[i]),
                        other.needWords(),
                        other.ratioWords(),
                        Table.failsFrom(other),
                        known(other));
            }
        }
        return table;
    }

    private static String known(Figure figure) {
        return figure.from().equals("no run")
                ? figure.basis().word()
                : figure.basis().word() + ": " + figure.from();
    }

    /**
     * Of each design and size, with the most databases that it was run with, the run with the worst p99; and what
     * failed.
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
                    run.whole() ? "" : "failed");
            shown.merge(size, run, RoleFigures::tellsMore);
        }
        for (Slopes.Run run : shown.values()) {
            table.row(
                    run.design().name().toLowerCase(Locale.ROOT),
                    run.words(),
                    run.commit() == null ? slopes.commit() : run.commit(),
                    values(run, Metric.IN_FORCE_P50_MS, Metric.IN_FORCE_P99_MS, Metric.IN_FORCE_MAX_MS),
                    values(run, Metric.CONTROL_CPU_CORE, Metric.CONTROL_BYTES_PER_S, Metric.CONTROL_RSS_MB),
                    values(run, Metric.LEADER_CPU_CORE, Metric.LEADER_BYTES_PER_S),
                    run.ended());
        }
        if (shown.isEmpty()) {
            table.row("not run", "", "", "", "", "", "");
        }
        return table;
    }

    private static Slopes.Run tellsMore(Slopes.Run one, Slopes.Run other) {
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
