package lupinvalve.capacity;

/**
 * Values that the operators did not state and no run measured. Each figure that depends on one of these is marked as
 * guessed on the page, which lists them with their reasons.
 */
final class Assumptions {
    /** Capacity of a control machine's network link: 1 Gbit/s. */
    static final double CONTROL_LINK_BYTES_PER_SECOND = 125e6;
    /** Size of one database's entry in a configuration document: name, group, zone, three addresses and two limits. */
    static final double DOCUMENT_BYTES_PER_DATABASE = 190;
    /** Rate of changes in the busiest hours over the day's mean. */
    static final double BUSY_HOURS_RATIO = 10;
    /** Round trip time of a commit between regions. */
    static final double REGION_ROUND_TRIP_SECONDS = 0.08;
    /** Size of a probe with its answer on the network. */
    static final double PROBE_BYTES = 150;
    /** Cores of a db node; both deployments' settings have 4 and 5. */
    static final double DB_NODE_CORES = 5;
    /**
     * Processor time of a statement at a db node. The settings' work times (26 to 160 ms) are impossible at 1,500
     * statements per second on 5 cores.
     */
    static final double STATEMENT_SECONDS = 0.002;
    /** Share of a db node's processor that handshakes, or probes, may use. */
    static final double OVERHEAD_RATIO = 0.05;

    private Assumptions() {}

    /** An assumption as listed on the page. */
    record Guess(String what, double value, Unit unit, String why) {}

    static java.util.List<Guess> all() {
        return java.util.List.of(
                new Guess(
                        "link of a control machine",
                        CONTROL_LINK_BYTES_PER_SECOND,
                        Unit.BYTES_PER_SECOND,
                        "1 Gbit/s; not stated"),
                new Guess(
                        "a database's part of a document",
                        DOCUMENT_BYTES_PER_DATABASE,
                        Unit.BYTES,
                        "name, group, zone, three addresses, two limits; used only while no run tells a document's size"),
                new Guess(
                        "busy hours over the day's mean",
                        BUSY_HOURS_RATIO,
                        Unit.COUNT,
                        "changes made by staff and releases come together"),
                new Guess("way there and back between regions", REGION_ROUND_TRIP_SECONDS, Unit.SECONDS, "not stated"),
                new Guess(
                        "a probe with its answer",
                        PROBE_BYTES,
                        Unit.BYTES,
                        "a short statement and a row of two fields"),
                new Guess("poolers of a rack", 20, Unit.COUNT, "not stated"),
                new Guess("cores of a db node", DB_NODE_CORES, Unit.COUNT, "the two settings have 4 and 5"),
                new Guess(
                        "a statement's time at a db node",
                        STATEMENT_SECONDS,
                        Unit.SECONDS,
                        "the settings' works of 26 to 160 ms do not fit 1,500 a second"),
                new Guess(
                        "databases' loads, standard deviation over mean",
                        1,
                        Unit.COUNT,
                        "for the poolers' load in subsets; not stated"),
                new Guess("part of a db node for handshakes, or for probes", OVERHEAD_RATIO, Unit.COUNT, "not stated"));
    }
}
