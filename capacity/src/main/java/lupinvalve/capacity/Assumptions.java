package lupinvalve.capacity;

/**
 * What the operators did not say and no run measured. Each figure that rests on one of these is called guessed on the
 * page, which lists them with their reasons.
 */
final class Assumptions {
    /** What a control machine's link carries: 1 Gbit/s. */
    static final double CONTROL_LINK_BYTES_PER_SECOND = 125e6;
    /** What one database takes in a configuration document: name, group, zone, three addresses and two limits. */
    static final double DOCUMENT_BYTES_PER_DATABASE = 190;
    /** How much more often than in the day's mean changes come in its busiest hours. */
    static final double BUSY_FACTOR = 10;
    /** A commit's way there and back between regions. */
    static final double REGIONS_APART_SECONDS = 0.08;
    /** What a probe and its answer take on the wire. */
    static final double PROBE_BYTES = 150;
    /** Cores of a db node; both settings have 4 and 5. */
    static final double DB_NODE_CORES = 5;
    /**
     * What a statement takes at a db node: the settings' works (26 to 160 ms) can't be, at 1,500 a second on 5 cores.
     */
    static final double STATEMENT_SECONDS = 0.002;
    /** Part of a db node's processor that handshakes, or probes, may take. */
    static final double OVERHEAD_PART = 0.05;

    private Assumptions() {}

    /** One of them, as the page lists it. */
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
                        BUSY_FACTOR,
                        Unit.COUNT,
                        "changes made by staff and releases come together"),
                new Guess("way there and back between regions", REGIONS_APART_SECONDS, Unit.SECONDS, "not stated"),
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
                new Guess("part of a db node for handshakes, or for probes", OVERHEAD_PART, Unit.COUNT, "not stated"));
    }
}
