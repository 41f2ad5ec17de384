package lupinvalve.cli;

/**
 * The pauses before a configuration file that was not usable is read again: short at first, since most files are
 * complete within moments, then longer, and 3 s in total. The total is the sum of the pauses and not elapsed time, so
 * that a process that was suspended meanwhile still gets all its attempts.
 */
final class RereadPauses {
    private static final long FIRST_PAUSE_MILLIS = 50;
    private static final long MAX_PAUSE_MILLIS = 400;
    private static final long MAX_TOTAL_MILLIS = 3_000;
    private long nextMillis = FIRST_PAUSE_MILLIS;
    private long totalMillis;

    /** Whether another attempt is due. */
    boolean hasNext() {
        return totalMillis < MAX_TOTAL_MILLIS;
    }

    /** The pause before the next attempt; positive as long as {@link #hasNext} is true. */
    long nextMillis() {
        long pauseMillis = Math.min(nextMillis, MAX_TOTAL_MILLIS - totalMillis);
        totalMillis += pauseMillis;
        nextMillis = Math.min(2 * nextMillis, MAX_PAUSE_MILLIS);
        return pauseMillis;
    }
}
