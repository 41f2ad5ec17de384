package lupinvalve.routing;

/**
 * The adaptive idle timeout of connections to servers, one for all servers of this router. It is shortened when an idle
 * connection turns out to have been dropped without notice or a server's connection table was full, and grows slowly
 * otherwise.
 */
final class IdleTimeout {
    private static final double MIN_TIMEOUT_MICROS = 250_000;
    private static final double MAX_TIMEOUT_MICROS = 60e6;
    /** New timeout as a fraction of the idle time after which a connection was dropped, or of the old timeout. */
    private static final double CUT_RATIO = 0.7;
    /** Factor by which the timeout grows with each {@link #grow}. */
    private static final double GROWTH_RATIO = 1.003;
    /** Fraction of the timeout that applies to requests that can't be retried, as a dropped connection fails them. */
    private static final double UNSAFE_TIMEOUT_RATIO = 0.5;

    /** State of the connections to one server. */
    static final class State {
        private boolean mayBeOpen;
        private long lastUsedMicros;
    }

    private final RouterContext context;
    private double timeoutMicros = MAX_TIMEOUT_MICROS;

    IdleTimeout(RouterContext context) {
        this.context = context;
    }

    /** Multiplies the timeout by {@link #GROWTH_RATIO}, up to its maximum; called about every 100 ms. */
    void grow() {
        timeoutMicros = Math.min(MAX_TIMEOUT_MICROS, timeoutMicros * GROWTH_RATIO);
    }

    /** Shortens the timeout, as idle connections take up space in a server's connection table that was full. */
    void connectionTableWasFull() {
        timeoutMicros = Math.max(MIN_TIMEOUT_MICROS, timeoutMicros * CUT_RATIO);
    }

    /**
     * Whether a connection idle for this long is suspected of having been dropped without notice: it has been idle for
     * longer than the shortest timeout, and the timeout is below its maximum because of an earlier drop or full
     * connection table. The second condition makes this stricter than {@link #mayHaveBeenDropped}.
     */
    boolean isSuspect(long idleMicros) {
        return idleMicros > MIN_TIMEOUT_MICROS && timeoutMicros < MAX_TIMEOUT_MICROS;
    }

    /**
     * Whether an attempt without answer may have been lost because its connection had been dropped while idle: the
     * connection had been idle for longer than the shortest timeout, whatever the timeout is now.
     */
    boolean mayHaveBeenDropped(Attempt attempt) {
        return attempt.connectionIdleMicros() > MIN_TIMEOUT_MICROS;
    }

    /**
     * Records that an attempt's connection was dropped while idle: shortens the timeout below the time that it had been
     * idle, and closes the server's other idle connections.
     */
    void connectionDropped(Attempt attempt) {
        timeoutMicros =
                Math.max(MIN_TIMEOUT_MICROS, Math.min(timeoutMicros, attempt.connectionIdleMicros() * CUT_RATIO));
        close(attempt.server());
    }

    /** Closes the server's connections if they have been idle for longer than the timeout. */
    void tick(Server server) {
        State state = server.connection;
        if (state.mayBeOpen
                && server.inFlight.isEmpty()
                && context.nowMicros() - state.lastUsedMicros > timeoutMicros) {
            close(server);
        }
    }

    /**
     * Prepares the start of an attempt: closes connections that have been idle for longer than the timeout. Returns how
     * long the connection that the attempt will use has been idle, in microseconds; 0 for a new one or one in use.
     *
     * @param unsafe whether the request can't be retried, so that a shorter timeout applies
     */
    long closeExpiredAndGetIdleMicros(Server server, boolean unsafe) {
        State state = server.connection;
        boolean idle = state.mayBeOpen && server.inFlight.isEmpty();
        long idleMicros = idle ? context.nowMicros() - state.lastUsedMicros : 0;
        if (idleMicros > timeoutMicros * (unsafe ? UNSAFE_TIMEOUT_RATIO : 1)) {
            close(server);
            idleMicros = 0;
        }
        state.mayBeOpen = true;
        return idleMicros;
    }

    /** Records that the connections to a server were in use until now. */
    void attemptEnded(Server server) {
        server.connection.lastUsedMicros = context.nowMicros();
    }

    /** Records that connections to a server fail, so that none is left to be closed. */
    void connectionsFailed(Server server) {
        server.connection.mayBeOpen = false;
    }

    private void close(Server server) {
        server.connection.mayBeOpen = false;
        context.perform(new RouterAction.CloseIdleConnections(server.id));
    }
}
