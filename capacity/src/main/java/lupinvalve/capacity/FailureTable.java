package lupinvalve.capacity;

import java.util.List;
import lupinvalve.audit.Lease;
import lupinvalve.capacity.Slopes.Design;

/**
 * Failures that the operators expect: how they are detected and when, what they cost, and the time until all
 * configuration is in force again.
 */
final class FailureTable {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double RACK_POOLERS = 20;
    private final Demand demand;
    private final Slopes slopes;

    FailureTable(Demand demand, Slopes slopes) {
        this.demand = demand;
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
        String lease = Unit.SECONDS.format(Lease.DURATION_MICROS / MICROS_PER_SECOND);
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

    private String estimateText(Design design, Metric metric) {
        Estimate estimate = Estimate.of(slopes, design, metric, demand);
        return Double.isNaN(estimate.value())
                ? "not run"
                : metric.unit().format(estimate.value()) + " ("
                        + estimate.basis().word() + ")";
    }

    private void addRow(Table table, String failure, String often, String notices, String spent, Metric metric) {
        table.addRow(
                failure,
                often,
                notices,
                spent,
                estimateText(Design.MEMBERS, metric),
                estimateText(Design.SUBSCRIPTIONS, metric));
    }

    private void machine(Table table, String lease) {
        addRow(
                table,
                "one pooler's machine",
                "4 a day",
                "its clients at once where connections reset; its lease's end, " + lease + " (computed)",
                Unit.number(demand.connections() / demand.poolers()) + " clients connect anew (computed)",
                Metric.JOIN_MS);
    }

    private void rack(Table table) {
        addRow(
                table,
                "a rack, taken as 20 poolers (guessed)",
                "each month or two",
                "as above",
                Unit.number(RACK_POOLERS * demand.connections() / demand.poolers()) + " clients connect anew (guessed)",
                Metric.RACK_READY_MS);
    }

    private void zone(Table table) {
        addRow(
                table,
                "a zone: 130 poolers, " + Unit.number(Math.floor(demand.databasesPerZone()))
                        + " db nodes, perhaps a control member",
                "every other month",
                "poolers by silent time-outs and the list; the last one that asks a db node by itself after "
                        + Unit.SECONDS.format(DatabaseFigures.lastToLearn(demand)) + " (computed)",
                Unit.BYTES.format(demand.databasesPerZone() * CodeFacts.DISCOVERY_LIST_ENTRY_BYTES * demand.poolers())
                        + " of list to all (computed)",
                Metric.HERD_READY_MS);
    }

    private void region(Table table, String lease) {
        String spent =
                "`fence`: all its statements refused; `serve`: it goes on with what it has, and strict changes promise the lease's "
                        + "end only; " + Unit.number(demand.changesPerSecond() * demand.cutHours() * 3600)
                        + " changes missed (computed)";
        String restarted = "an hour not run; its poolers restarted at once: ";
        table.addRow(
                "a region cut off for an hour",
                "now and then",
                "its poolers' leases end within " + lease + " (computed)",
                spent,
                restarted + estimateText(Design.MEMBERS, Metric.REGION_READY_MS),
                restarted + estimateText(Design.SUBSCRIPTIONS, Metric.REGION_READY_MS));
    }

    private void leader(Table table) {
        addRow(
                table,
                "the leader",
                "with machines, seldom",
                "the others, 0.6 s of silence; earlier runs with three: median "
                        + Unit.SECONDS.format(EarlierMeasurements.FAILOVER_P50_SECONDS) + ", worst "
                        + Unit.SECONDS.format(EarlierMeasurements.MAX_FAILOVER_SECONDS)
                        + " (measured, docs/replicated-log.md)",
                "changes wait or end as UNKNOWN; no lease is granted for 2 s at most (computed)",
                Metric.FAILOVER_MS);
    }

    private void majority(Table table, String lease) {
        table.addRow(
                "two of three control members",
                "as two machines at once",
                "`cut_off`; leases end within " + lease + " (computed)",
                "nothing can be changed; with `fence` **all " + Unit.number(demand.poolers())
                        + " poolers refuse** after that, with " + "`serve` all go on",
                "needs " + Unit.number(Math.floor(demand.poolers() / 2.0) + 1) + " of 910 instead (computed)",
                "not run: as soon as one is back");
    }

    private void herd(Table table) {
        addRow(
                table,
                "a herd of 130 poolers that come at once",
                "with a zone, or a release",
                "control members and discovery, at once",
                "130 whole lists, "
                        + Unit.BYTES.format(
                                demand.herd() * demand.databases() * (double) CodeFacts.DISCOVERY_LIST_ENTRY_BYTES)
                        + " (computed)",
                Metric.HERD_READY_MS);
    }

    private void primary(Table table) {
        addRow(
                table,
                "a change of primary",
                "2 a day",
                "the db set itself within "
                        + Unit.SECONDS.format(Setting.RECIFE.electSeconds().max())
                        + " (settings); a pooler that holds a write within a round, "
                        + Unit.SECONDS.format(CodeFacts.PRIMARY_CHECK_ROUND_SECONDS
                                * Setting.ALMATY.members().max()) + " (computed)",
                "writes are held and refused with advice; probes by each " + "pooler that holds one",
                Metric.TOLD_MS);
    }
}
