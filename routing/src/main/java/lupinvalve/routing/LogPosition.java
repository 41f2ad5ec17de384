package lupinvalve.routing;

/**
 * Positions in the replication log: the clock time, in microseconds, up to which a server has applied all commits. It
 * lies on the clock of the times given with each event.
 */
public final class LogPosition {
    /** No position is known. */
    public static final long UNKNOWN = Long.MIN_VALUE;

    private LogPosition() {}
}
