package lupinvalve.routing;

/** How an attempt or a health check ended. */
public enum AttemptOutcome {
    /** The server answered the request. */
    SERVED(false),
    /** The server answered with an error. */
    ERROR(false),
    /** The server was full and rejected the request unseen. */
    REJECTED(true),
    /** No answer came in the attempt's time. */
    TIMED_OUT(false),
    /** No connection came up. */
    NOT_CONNECTED(true),
    /** The connection broke with the request on it. */
    BROKEN(false),
    /** The attempt was called off. */
    CANCELLED(false),
    /** Nothing of the request was handed to a socket. */
    NOT_SENT(true),
    /** The server may not answer it: too far behind for the read, or not the primary for the write. */
    MISSED(true);

    /** True where the outcome proves that the request did not run. */
    public final boolean neverRan;

    AttemptOutcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
