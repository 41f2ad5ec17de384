package lupinvalve.cli;

/**
 * How long to wait before a file that could not be used is read again: short at first, since most are whole within
 * moments, then longer, and 3 s in all. Counted by pauses and not by the clock, so that a process that was stopped
 * meanwhile still gets its tries.
 */
final class RereadPauses {
    private static final long FIRST_MILLIS = 50;
    private static final long LONGEST_MILLIS = 400;
    private static final long TOTAL_MILLIS = 3_000;
    private long next = FIRST_MILLIS;
    private long spent;

    /** Whether there is another try. */
    boolean more() {
        return spent < TOTAL_MILLIS;
    }

    /** The pause before it, over 0 as long as there is {@link #more}. */
    long nextMillis() {
        long pause = Math.min(next, TOTAL_MILLIS - spent);
        spent += pause;
        next = Math.min(2 * next, LONGEST_MILLIS);
        return pause;
    }
}
