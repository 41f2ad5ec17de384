package lupinvalve.maintenance;

/**
 * How budgets are shared: that of memory between long answers while their clients read, and that of connections between
 * the two processes of an upgrade. What a client has not read stays with the db node's machine, so one that reads
 * nothing holds its share and no more. No I/O.
 */
public final class Shares {
    /** What all long answers may hold together: an eighth of the least heap that a pooler is given (40 MB). */
    static final long BUDGET = 5 << 20;
    /**
     * Below the first a share costs more calls to the system than it saves memory; above the second it speeds up
     * nobody.
     */
    static final long LEAST = 8 << 10, MOST = 128 << 10;

    /** What answers that must be held whole may take together: they can't wait elsewhere, so one too many fails. */
    private static final long KEPT_MOST = 12 << 20;

    private Shares() {}

    /** Connections to db nodes that one process may have. */
    public static int connections(int whole, boolean anotherRuns) {
        return anotherRuns ? Math.max(1, whole / 2) : whole;
    }

    /** Whether one more answer may be held whole beside those that are. */
    public static boolean keeps(long keptBytes, int more) {
        return keptBytes + more <= KEPT_MOST;
    }

    /** Bytes for each of so many. */
    public static long bytes(int streams) {
        return Math.max(LEAST, Math.min(MOST, BUDGET / Math.max(1, streams)));
    }
}
