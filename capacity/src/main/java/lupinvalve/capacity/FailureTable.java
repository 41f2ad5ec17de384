package lupinvalve.capacity;

import java.util.List;
import lupinvalve.audit.Lease;
import lupinvalve.capacity.Slopes.Design;

/** Failures that the operators expect: who notices, after how long, what is spent, when all is in force again. */
final class FailureTable {
    private static final double MICROS = 1e6;
    private static final double RACK_POOLERS = 20;
    private final Demand d;
    private final Slopes slopes;

    FailureTable(Demand demand, Slopes slopes) {
        d = demand;
        this.slopes = slopes;
    }

    Table table() {
        Table table = new Table(
                "failures",
                List.of(
                        "failure",
                        "how often",
                        "who notices, after",
                        "spent meanwhile",
                        "in force again: members",
                        "subscriptions"));
        String lease = Unit.SECONDS.words(Lease.DURATION_MICROS / MICROS);
        machine(table, lease);
        rack(table);
        zone(table);
        region(table, lease);
        leader(table);
        majority(table, lease);
        herd(table);
        primary(table);
        return table;
    }

    private String run(Design design, Metric metric) {
        Estimate estimate = Estimate.of(slopes, design, metric, d);
        return Double.isNaN(estimate.value())
                ? "not run"
                : metric.unit().words(estimate.value()) + " ("
                        + estimate.basis().word() + ")";
    }

    private void row(Table table, String failure, String often, String notices, String spent, Metric metric) {
        table.row(failure, often, notices, spent, run(Design.MEMBERS, metric), run(Design.SUBSCRIPTIONS, metric));
    }

    private void machine(Table table, String lease) {
        row(
                table,
                "one pooler's machine",
                "4 a day",
                "its clients at once where connections reset; its lease's end, " + lease + " (computed)",
                Unit.number(d.connections() / d.poolers()) + " clients connect anew (computed)",
                Metric.JOIN_MS);
    }

    private void rack(Table table) {
        row(
                table,
                "a rack, taken as 20 poolers (guessed)",
                "each month or two",
                "as above",
                Unit.number(RACK_POOLERS * d.connections() / d.poolers()) + " clients connect anew (guessed)",
                Metric.RACK_READY_MS);
    }

    private void zone(Table table) {
        row(
                table,
                "a zone: 130 poolers, " + Unit.number(Math.floor(d.databasesPerZone()))
                        + " db nodes, perhaps a control member",
                "every other month",
                "poolers by silent time-outs and the list; the last one that asks a db node by itself after "
                        + Unit.SECONDS.words(DatabaseFigures.lastToLearn(d)) + " (computed)",
                Unit.BYTES.words(d.databasesPerZone() * CodeFacts.LIST_ENTRY * d.poolers())
                        + " of list to all (computed)",
                Metric.HERD_READY_MS);
    }

    private void region(Table table, String lease) {
        String spent =
                "`fence`: all its statements refused; `serve`: it goes on with what it has, and strict changes promise the lease's "
                        + "end only; " + Unit.number(d.changesPerSecond() * d.cutHours() * 3600)
                        + " changes missed (computed)";
        String restarted = "an hour not run; its poolers restarted at once: ";
        table.row(
                "a region cut off for an hour",
                "now and then",
                "its poolers' leases end within " + lease + " (computed)",
                spent,
                restarted + run(Design.MEMBERS, Metric.REGION_READY_MS),
                restarted + run(Design.SUBSCRIPTIONS, Metric.REGION_READY_MS));
    }

    private void leader(Table table) {
        row(
                table,
                "the leader",
                "with machines, seldom",
                "the others, 0.6 s of silence; earlier runs with three: median "
                        + Unit.SECONDS.words(Past.FAILOVER_P50_SECONDS) + ", worst "
                        + Unit.SECONDS.words(Past.FAILOVER_MOST_SECONDS)
                        + " (measured, docs/replicated-log.md)",
                "changes wait or end as UNKNOWN; no lease is granted for 2 s at most (computed)",
                Metric.FAILOVER_MS);
    }

    private void majority(Table table, String lease) {
        table.row(
                "two of three control members",
                "as two machines at once",
                "`cut_off`; leases end within " + lease + " (computed)",
                "nothing can be changed; with `fence` **all " + Unit.number(d.poolers())
                        + " poolers refuse** after that, with " + "`serve` all go on",
                "needs " + Unit.number(Math.floor(d.poolers() / 2.0) + 1) + " of 910 instead (computed)",
                "not run: as soon as one is back");
    }

    private void herd(Table table) {
        row(
                table,
                "a herd of 130 poolers that come at once",
                "with a zone, or a release",
                "control members and discovery, at once",
                "130 whole lists, " + Unit.BYTES.words(d.herd() * d.databases() * (double) CodeFacts.LIST_ENTRY)
                        + " (computed)",
                Metric.HERD_READY_MS);
    }

    private void primary(Table table) {
        row(
                table,
                "a change of primary",
                "2 a day",
                "the db set itself within "
                        + Unit.SECONDS.words(Setting.RECIFE.electSeconds().most())
                        + " (settings); a pooler that holds a write within a round, "
                        + Unit.SECONDS.words(CodeFacts.CHANGE_PROBE_SECONDS
                                * Setting.ALMATY.members().most()) + " (computed)",
                "writes are held and refused with advice; probes by each " + "pooler that holds one",
                Metric.TOLD_MS);
    }
}
