package lupinvalve.routing;

/**
 * Positions in the replication log. A position is the time, in microseconds, up to which a server has applied all
 * commits, on the same clock as the times of the events; the position of a primary is therefore the present time.
 */
public final class LogPosition {
    /** No position is known. */
    public static final long UNKNOWN = Long.MIN_VALUE;

    private LogPosition() {}
}
