package lupinvalve.routing;

/**
 * Detects restarts of servers by failed connections. A server to which connections failed for over
 * {@link #MIN_RESTART_MICROS} is taken for restarted once it answers again, and enters slow start. If they failed for
 * less, its connection table is taken to have been full, and the idle timeout is shortened.
 */
final class RestartDetector {
    /** Shortest time for which connections fail during a restart. */
    private static final long MIN_RESTART_MICROS = 1_000_000;

    private static final long NOT_FAILING_MICROS = Long.MIN_VALUE;

    /** The failed connections to one server since its last answer. */
    static final class State {
        private long failingSinceMicros = NOT_FAILING_MICROS;
        private long lastFailureMicros;
    }

    private final RouterContext context;
    private final SlowStart slowStart;
    private final IdleTimeout idleTimeout;

    RestartDetector(RouterContext context, SlowStart slowStart, IdleTimeout idleTimeout) {
        this.context = context;
        this.slowStart = slowStart;
        this.idleTimeout = idleTimeout;
    }

    /** Records that a connection for an attempt failed. */
    void recordFailedConnection(Server server) {
        State state = server.connectFailures;
        if (state.failingSinceMicros == NOT_FAILING_MICROS) {
            state.failingSinceMicros = context.nowMicros();
        }
        state.lastFailureMicros = context.nowMicros();
    }

    /** Records the end of a health check: one that could not connect prolongs the time of failed connections. */
    void recordHealthCheck(Server server, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.NOT_CONNECTED) {
            server.connectFailures.lastFailureMicros = context.nowMicros();
        }
    }

    /**
     * Records that the server answered an attempt. What counts is the time from the first failed connection to the last
     * one, since nothing is known of the time in which none was tried.
     */
    void recordAnswer(Server server) {
        State state = server.connectFailures;
        if (state.failingSinceMicros == NOT_FAILING_MICROS) {
            return;
        }
        if (state.lastFailureMicros - state.failingSinceMicros > MIN_RESTART_MICROS) {
            slowStart.begin(server, context.nowMicros());
        } else {
            idleTimeout.connectionTableWasFull();
        }
        state.failingSinceMicros = NOT_FAILING_MICROS;
    }
}
