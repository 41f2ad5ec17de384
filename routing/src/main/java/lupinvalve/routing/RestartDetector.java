package lupinvalve.routing;

/**
 * Takes a server to which connections failed for a while for restarted, and so for cold, once it answers again. One
 * that is back sooner had its connection table full, so idle connections are closed earlier.
 */
final class RestartDetector {
    private static final long MIN_RESTART_MICROS = 1_000_000;
    private static final long NOT_FAILING_MICROS = Long.MIN_VALUE;

    /** Since when connections to one server have failed. */
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

    /** A connection for an attempt failed. */
    void recordFailedConnection(Server server) {
        State state = server.connectFailures;
        if (state.failingSinceMicros == NOT_FAILING_MICROS) {
            state.failingSinceMicros = context.nowMicros();
        }
        state.lastFailureMicros = context.nowMicros();
    }

    /** A health check has ended. */
    void recordHealthCheck(Server server, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.NOT_CONNECTED) {
            server.connectFailures.lastFailureMicros = context.nowMicros();
        }
    }

    /** The server answered. Only the time between failed connections counts, not that without attempts. */
    void recordAnswer(Server server) {
        State state = server.connectFailures;
        if (state.failingSinceMicros == NOT_FAILING_MICROS) {
            return;
        }
        if (state.lastFailureMicros - state.failingSinceMicros > MIN_RESTART_MICROS) {
            slowStart.begin(server, context.nowMicros());
        } else {
            idleTimeout.tableWasFull();
        }
        state.failingSinceMicros = NOT_FAILING_MICROS;
    }
}
