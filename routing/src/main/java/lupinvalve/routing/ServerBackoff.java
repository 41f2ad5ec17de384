package lupinvalve.routing;

/** The backoff before a failing server is used or checked again: 200 ms, doubled with each failure up to 3.2 s. */
final class ServerBackoff {
    private static final long FIRST_BACKOFF_MICROS = 200_000;
    private static final int MAX_DOUBLINGS = 4;

    private ServerBackoff() {}

    /** The first backoff doubled so many times, in microseconds; {@link #MAX_DOUBLINGS} times at most. */
    static long micros(int doublings) {
        return FIRST_BACKOFF_MICROS << Math.min(doublings, MAX_DOUBLINGS);
    }
}
