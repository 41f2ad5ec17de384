package lupinvalve.core;

/** Where a request's one final answer goes. Called by the core thread. */
public interface Front {
    /** Served: the answer as a db node gave it, and its position or {@code LogPosition.UNKNOWN}. */
    void served(long ticket, Object answer, long position, lupinvalve.routing.ServerRole role);

    /** Whether the client has gone, as far as sockets tell: the core may not have come to it yet. */
    boolean left(long ticket);

    /**
     * A long answer begins, as a db node gives it; {@link #more} brings the rest, {@link #served} or {@link #cut} its
     * end.
     */
    default void begins(long ticket, Object first, Backend.Source source) {
        throw new IllegalStateException("this front takes whole answers only");
    }

    /** A further piece of a long answer. */
    default void more(long ticket, byte[] piece) {
        throw new IllegalStateException("this front takes whole answers only");
    }

    /** A long answer can't be finished: its client must be able to tell. */
    default void cut(long ticket) {
        throw new IllegalStateException("this front takes whole answers only");
    }

    /** Refused: a repeat does no harm; the client should come back after the given time (0: no advice). */
    void refused(long ticket, long retryAfterMicros);

    /** Failed: nothing is promised of the effect. */
    void failed(long ticket);
}
