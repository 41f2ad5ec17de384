package lupinvalve.maintenance;

/**
 * Whether clients are drained, and how far that has come. The load balancer before the poolers checks with the empty
 * query; 0.2 s after a no it brings no new clients, while those that are connected go on until their connections are
 * closed. No I/O, no clock; not safe for use by several threads.
 */
public final class ClientDrain {
    /**
     * From the start until connections are closed: the load balancer checks every 0.1 s, and stops 0.2 s after a no.
     */
    public static final long CLOSE_DELAY_MICROS = 500_000;

    private static final long NEVER = Long.MAX_VALUE;

    private long quiescedAtMicros = NEVER;
    private long groupDrainAtMicros = NEVER;
    private boolean shuttingDown;

    /** An operator drains this pooler's clients; a second call changes nothing. */
    public void quiesce(long nowMicros) {
        quiescedAtMicros = Math.min(quiescedAtMicros, nowMicros);
    }

    /** Back to work, unless the program is shutting down. */
    public void resume() {
        quiescedAtMicros = NEVER;
    }

    /** The group's configuration drains this pooler, or no longer, whatever operators ask of it alone. */
    public void setDrainedByGroup(boolean drained, long nowMicros) {
        groupDrainAtMicros = drained ? Math.min(groupDrainAtMicros, nowMicros) : NEVER;
    }

    /**
     * The program shuts down, and another has taken over its address or none can: connections are closed from now on.
     */
    public void shutDown() {
        shuttingDown = true;
    }

    /** Whether the empty query gets a yes. During a shutdown it does: there may be no other pooler to turn to. */
    public boolean acceptsClients() {
        return quiescedAtMicros == NEVER && groupDrainAtMicros == NEVER;
    }

    /** Whether connections on which nothing is due are closed. */
    public boolean closesConnections(long nowMicros) {
        long drainedAtMicros = Math.min(quiescedAtMicros, groupDrainAtMicros);
        return shuttingDown || drainedAtMicros != NEVER && nowMicros - drainedAtMicros >= CLOSE_DELAY_MICROS;
    }

    /** Whether the program shuts down. */
    public boolean isShuttingDown() {
        return shuttingDown;
    }
}
