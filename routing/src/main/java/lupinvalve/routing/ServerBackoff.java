package lupinvalve.routing;

/** How long a server that goes on failing is left alone: 200 ms, doubled with each failure up to 3.2 s. */
final class ServerBackoff {
    private static final long FIRST_MICROS = 200_000;
    private static final int MAX_DOUBLINGS = 4;

    private ServerBackoff() {}

    static long micros(int earlierFailures) {
        return FIRST_MICROS << Math.min(earlierFailures, MAX_DOUBLINGS);
    }
}
