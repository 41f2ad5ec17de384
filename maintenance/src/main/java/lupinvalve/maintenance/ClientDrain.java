package lupinvalve.maintenance;

/**
 * State of the drain of this pooler's clients. The load balancer in front of the poolers checks each of them with an
 * empty query. 0.2 s after a negative answer it sends no new clients; those that are connected continue until their
 * connections are closed. No I/O, no clock; not thread-safe.
 */
public final class ClientDrain {
    /**
     * Time from the start of a drain until connections are closed: the load balancer checks every 0.1 s, and stops
     * sending clients 0.2 s after a negative answer.
     */
    public static final long CLOSE_DELAY_MICROS = 500_000;

    private static final long NEVER = Long.MAX_VALUE;

    private long quiescedAtMicros = NEVER;
    private long groupDrainAtMicros = NEVER;
    private boolean shuttingDown;

    /** Starts a drain by an operator; no effect if one is in progress. */
    public void quiesce(long nowMicros) {
        quiescedAtMicros = Math.min(quiescedAtMicros, nowMicros);
    }

    /** Ends a drain by an operator; a shutdown or a drain by the group goes on. */
    public void resume() {
        quiescedAtMicros = NEVER;
    }

    /** Starts or ends the drain by the group's configuration, which is independent of a drain by an operator. */
    public void setDrainedByGroup(boolean drained, long nowMicros) {
        groupDrainAtMicros = drained ? Math.min(groupDrainAtMicros, nowMicros) : NEVER;
    }

    /**
     * Marks the process as shutting down, once another process has taken over its address or if none can. Connections
     * are closed from now on.
     */
    public void shutDown() {
        shuttingDown = true;
    }

    /**
     * Whether the empty query is answered positively. A shutdown does not change that: there may be no other pooler.
     */
    public boolean acceptsClients() {
        return quiescedAtMicros == NEVER && groupDrainAtMicros == NEVER;
    }

    /** Whether connections on which no answer is due are to be closed. */
    public boolean closesConnections(long nowMicros) {
        long drainedAtMicros = Math.min(quiescedAtMicros, groupDrainAtMicros);
        return shuttingDown || drainedAtMicros != NEVER && nowMicros - drainedAtMicros >= CLOSE_DELAY_MICROS;
    }

    /** Whether {@link #shutDown} has been called. */
    public boolean isShuttingDown() {
        return shuttingDown;
    }
}
