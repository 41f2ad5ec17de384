package lupinvalve.routing;

/** The backoff after consecutive failures of a server: 200 ms, doubled with each failure up to 3.2 s. */
final class ServerBackoff {
    private static final long FIRST_BACKOFF_MICROS = 200_000;
    private static final int MAX_DOUBLINGS = 4;

    private ServerBackoff() {}

    /** The backoff in microseconds after so many failures before the latest one. */
    static long micros(int earlierFailures) {
        return FIRST_BACKOFF_MICROS << Math.min(earlierFailures, MAX_DOUBLINGS);
    }
}
