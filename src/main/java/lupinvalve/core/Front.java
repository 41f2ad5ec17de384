package lupinvalve.core;

/** Where a request's one final answer goes. Called by the core thread. */
public interface Front {
    /** Served: the answer as a db node gave it, and its position or {@code Routing.NO_POSITION}. */
    void served(long ticket, Object answer, long position, lupinvalve.Routing.Role role);

    /** Refused: a repeat does no harm; the client should come back after the given time (0: no advice). */
    void refused(long ticket, long retryAfterMicros);

    /** Failed: nothing is promised of the effect. */
    void failed(long ticket);
}
