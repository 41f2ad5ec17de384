package lupinvalve.routing;

/** How an attempt or a health check ended. */
public enum AttemptOutcome {
    /** The server answered the request without an error. */
    SERVED(false),
    /** The server answered the request with an error. */
    ERROR(false),
    /** The server was at its capacity and rejected the request without running it. */
    REJECTED(true),
    /** No answer arrived within the attempt's timeout. */
    TIMED_OUT(false),
    /** No connection to the server could be established. */
    NOT_CONNECTED(true),
    /** The connection closed or failed after the request had been sent on it. */
    BROKEN(false),
    /** The attempt was cancelled. */
    CANCELLED(false),
    /** The attempt ended before any byte of the request was written to a socket. */
    NOT_SENT(true),
    /**
     * The request went to a server that is not fit for it: its data is too old for the read, or it isn't the primary
     * that the write needs. A read that the server did answer counts as this too if the answer's position is older than
     * the session's token.
     */
    MISDIRECTED(true);

    /**
     * Whether the server counts as not having run the request: the outcome proves it, except for a read that was
     * answered but counts as {@link #MISDIRECTED}.
     */
    public final boolean neverRan;

    AttemptOutcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
