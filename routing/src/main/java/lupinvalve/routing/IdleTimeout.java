package lupinvalve.routing;

/**
 * How long idle connections to servers are used again: less after one was lost unseen or a server's connection table
 * was full, then slowly more.
 */
final class IdleTimeout {
    private static final double MIN_MICROS = 250_000;
    private static final double MAX_MICROS = 60e6;
    private static final double CUT_RATIO = 0.7;
    /** Growth with each tick. */
    private static final double GROWTH_RATIO = 1.003;
    /** Part of the timeout for requests that can't be retried. */
    private static final double UNSAFE_RATIO = 0.5;

    /** The connections to one server. */
    static final class State {
        private boolean mayBeOpen;
        private long lastUsedMicros;
    }

    private final RouterContext context;
    private double timeoutMicros = MAX_MICROS;

    IdleTimeout(RouterContext context) {
        this.context = context;
    }

    /** Lets the timeout grow. */
    void grow() {
        timeoutMicros = Math.min(MAX_MICROS, timeoutMicros * GROWTH_RATIO);
    }

    /** A server's connection table was full, partly of idle connections. */
    void tableWasFull() {
        timeoutMicros = Math.max(MIN_MICROS, timeoutMicros * CUT_RATIO);
    }

    /** Whether an attempt on a connection that was idle for so long may meet one that was dropped unseen. */
    boolean mayBeStale(long idleMicros) {
        return idleMicros > MIN_MICROS && timeoutMicros < MAX_MICROS;
    }

    /** Whether a silent attempt may have been lost with its connection. */
    boolean mayHaveBeenDropped(Attempt attempt) {
        return attempt.connectionIdleMicros() > MIN_MICROS;
    }

    /** A connection was dropped unseen while it was idle. */
    void connectionDropped(Attempt attempt) {
        timeoutMicros = Math.max(MIN_MICROS, Math.min(timeoutMicros, attempt.connectionIdleMicros() * CUT_RATIO));
        close(attempt.server());
    }

    /** Closes the server's idle connections if they have been idle for too long. */
    void tick(Server server) {
        State state = server.connection;
        if (state.mayBeOpen
                && server.inFlight.isEmpty()
                && context.nowMicros() - state.lastUsedMicros > timeoutMicros) {
            close(server);
        }
    }

    /**
     * An attempt is about to start. Returns for how long the connection that it will use has been idle; what was idle
     * for too long is closed before, and counts as 0.
     */
    long beforeAttempt(Server server, boolean unsafe) {
        State state = server.connection;
        boolean idle = state.mayBeOpen && server.inFlight.isEmpty();
        long idleMicros = idle ? context.nowMicros() - state.lastUsedMicros : 0;
        if (idleMicros > timeoutMicros * (unsafe ? UNSAFE_RATIO : 1)) {
            close(server);
            idleMicros = 0;
        }
        state.mayBeOpen = true;
        return idleMicros;
    }

    /** An attempt at the server has ended. */
    void attemptEnded(Server server) {
        server.connection.lastUsedMicros = context.nowMicros();
    }

    /** Connections to the server fail. */
    void connectionsFailed(Server server) {
        server.connection.mayBeOpen = false;
    }

    private void close(Server server) {
        server.connection.mayBeOpen = false;
        context.perform(new RouterAction.CloseIdleConnections(server.id));
    }
}
