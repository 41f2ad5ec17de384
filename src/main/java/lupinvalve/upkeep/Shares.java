package lupinvalve.upkeep;

/**
 * How much of one budget each long answer may hold while its client reads. What is not read yet stays with the db node's
 * machine, so a client that reads nothing holds its share and no more. No I/O.
 */
public final class Shares {
    /** What all long answers may hold together: an eighth of the least heap that a pooler is given (40 MB). */
    static final long BUDGET = 5 << 20;
    /** Below the first a share costs more calls to the system than it saves memory; above the second it speeds up nobody. */
    static final long LEAST = 8 << 10, MOST = 128 << 10;

    private Shares() {}

    /** Bytes for each of so many. */
    public static long bytes(int streams) {
        return Math.max(LEAST, Math.min(MOST, BUDGET / Math.max(1, streams)));
    }
}
