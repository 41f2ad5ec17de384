package lupinvalve.capacity;

import java.util.Locale;

/** Metrics of a scale run; the file of slopes has these names in lower case. */
public enum Metric {
    IN_FORCE_P50_MS("in force, p50", Unit.MILLIS),
    IN_FORCE_P99_MS("in force, p99", Unit.MILLIS),
    IN_FORCE_MAX_MS("in force, worst", Unit.MILLIS),
    CONTROL_CPU_CORE("pooler: processor for control", Unit.CORES),
    CONTROL_BYTES_PER_S("pooler: bytes for control", Unit.BYTES_PER_SECOND),
    IDLE_CPU_CORE("pooler: processor without load", Unit.CORES),
    IDLE_BYTES_PER_S("pooler: bytes without load", Unit.BYTES_PER_SECOND),
    CONTROL_MESSAGES_PER_S("pooler: messages for control", Unit.PER_SECOND),
    CONTROL_RSS_MB("pooler: resident memory for control", Unit.MEGABYTES),
    CONTROL_HEAP_MB("pooler: heap for control", Unit.MEGABYTES),
    LEADER_CPU_CORE("leader: processor", Unit.CORES),
    LEADER_IDLE_CPU_CORE("leader: processor without load", Unit.CORES),
    LEADER_BYTES_PER_S("leader: bytes", Unit.BYTES_PER_SECOND),
    LEADER_MESSAGES_PER_S("leader: messages", Unit.PER_SECOND),
    LEADER_RSS_MB("leader: resident memory", Unit.MEGABYTES),
    MEMBER_CPU_CORE("other control member: processor", Unit.CORES),
    LOG_BYTES("control member: log", Unit.BYTES),
    SNAPSHOT_BYTES("control member: snapshot", Unit.BYTES),
    DOCUMENT_BYTES("document", Unit.BYTES),
    PUT_P99_MS("operator's client: a put acknowledged, p99", Unit.MILLIS),
    TOLD_MS("until the last pooler knew of a db node's hold", Unit.MILLIS),
    FAILOVER_MS("until there was another leader", Unit.MILLIS),
    RACK_READY_MS("a rack's poolers ready again", Unit.MILLIS),
    HERD_READY_MS("a zone's share of poolers ready again", Unit.MILLIS),
    REGION_READY_MS("a region's poolers ready again", Unit.MILLIS),
    JOIN_MS("one pooler joined, median", Unit.MILLIS),
    JOIN_MAX_MS("one pooler joined, worst", Unit.MILLIS),
    UNLEASED_OLD_MS("acted on an old version without a lease", Unit.MILLIS);

    private final String label;
    private final Unit unit;

    Metric(String label, Unit unit) {
        this.label = label;
        this.unit = unit;
    }

    /** Returns the name used on the page. */
    public String label() {
        return label;
    }

    /** Returns the unit of the values. */
    public Unit unit() {
        return unit;
    }

    /** Returns the metric's name in the file of slopes. */
    public String key() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the same metric without load, or null if runs do not measure it separately. */
    public Metric idleMetric() {
        return switch (this) {
            case CONTROL_CPU_CORE -> IDLE_CPU_CORE;
            case CONTROL_BYTES_PER_S -> IDLE_BYTES_PER_S;
            case LEADER_CPU_CORE -> LEADER_IDLE_CPU_CORE;
            default -> null;
        };
    }

    /** Returns the operators' limit, or NaN if they stated none and the program has no bound. */
    public double budget(Demand demand) {
        return switch (this) {
            case IN_FORCE_P99_MS, IN_FORCE_MAX_MS, TOLD_MS -> demand.inForceSeconds() * 1000;
            case CONTROL_CPU_CORE, IDLE_CPU_CORE -> demand.controlCore();
            case CONTROL_BYTES_PER_S, IDLE_BYTES_PER_S -> demand.controlBytesPerSecond();
            case CONTROL_RSS_MB -> demand.controlMegabytes();
                // No pooler may act on an old version without a lease.
            case UNLEASED_OLD_MS -> 0;
                // A member of the Raft group works on a single thread.
            case LEADER_CPU_CORE, MEMBER_CPU_CORE -> 1;
            case LEADER_BYTES_PER_S -> Assumptions.CONTROL_LINK_BYTES_PER_SECOND;
            default -> Double.NaN;
        };
    }
}
