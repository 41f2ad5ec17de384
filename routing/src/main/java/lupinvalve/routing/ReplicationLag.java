package lupinvalve.routing;

/**
 * Tracks how far each server has applied the primary's log, from its answers and health checks, and decides whether a
 * replica is fresh enough for a read. All positions and lags are in microseconds; see {@link LogPosition}.
 */
final class ReplicationLag {
    /** Reduction of the allowance in {@link #isFresh} for each earlier attempt of the read. */
    private static final long ALLOWANCE_STEP_MICROS = 2_000;

    /** The log position of one server, as far as known. */
    static final class State {
        private long position = LogPosition.UNKNOWN;
        /** Time of the last report minus the position then. */
        private long lagMicros = UNKNOWN_LAG_MICROS;

        private long reportedAtMicros = NEVER_MICROS;

        /** The greatest position that the server has stated, or {@link LogPosition#UNKNOWN}. */
        long position() {
            return position;
        }
    }

    private static final long UNKNOWN_LAG_MICROS = -1;
    private static final long NEVER_MICROS = Long.MIN_VALUE;
    private final RouterContext context;
    private final boolean checkedByServers;

    ReplicationLag(RouterContext context) {
        this.context = context;
        checkedByServers = context.settings().replication().check() != RouterSettings.FreshnessCheck.SILENT;
    }

    /** Whether servers themselves reject reads that they are too far behind for. */
    boolean isCheckedByServers() {
        return checkedByServers;
    }

    /**
     * Records a stated position. Positions never go back, so the greatest one ever stated still holds.
     *
     * @param inAnswer whether it was stated in the answer to an attempt, which is current. A health check may return an
     *     old report; one below the greatest position changes the lag only if no lag is known yet.
     */
    void record(Server server, long position, boolean inAnswer) {
        State state = server.lag;
        if (position == LogPosition.UNKNOWN) {
            return;
        }
        state.position = Math.max(state.position, position);
        if (inAnswer || state.lagMicros == UNKNOWN_LAG_MICROS || position >= state.position) {
            state.lagMicros = Math.max(0, context.nowMicros() - state.position);
            state.reportedAtMicros = context.nowMicros();
        }
    }

    /**
     * Whether a replica may be sent a read that requires a log position. It may if the replica has stated that position
     * or a later one. Where servers check the position themselves, it also may if no lag is known yet, or if the
     * estimated position, which is now minus the last known lag, plus an allowance reaches it. The allowance is half
     * the time that a server waits to catch up, less {@link #ALLOWANCE_STEP_MICROS} for each earlier attempt: a replica
     * that is too far behind rejects the read at once, and without the reduction all attempts would be used up within a
     * moment.
     */
    boolean isFresh(Server server, long requiredPosition, int earlierAttempts) {
        State state = server.lag;
        long allowanceMicros =
                context.settings().replication().waitMicros() / 2 - earlierAttempts * ALLOWANCE_STEP_MICROS;
        return state.position >= requiredPosition
                || checkedByServers
                        && (state.lagMicros == UNKNOWN_LAG_MICROS
                                || context.nowMicros() - state.lagMicros + allowanceMicros >= requiredPosition);
    }

    /**
     * Until when the data of the server in use is fresh enough for a request, unless the server states a later
     * position; {@link Long#MAX_VALUE} where the request does not bound the age of data, where servers check it
     * themselves, or where the server was not chosen for its position.
     */
    long freshUntilMicros(PendingRequest request) {
        Server server = request.inFlight().server();
        long freshUntilMicros = server.lag.position + request.requestClass.maxStalenessMicros();
        boolean isBounded = request.requestClass.access() == RequestClass.Access.BOUNDED
                && !checkedByServers
                && server != request.group.primary()
                && freshUntilMicros >= context.nowMicros();
        return isBounded ? freshUntilMicros : Long.MAX_VALUE;
    }

    /**
     * Estimated time until a replica that is not fresh may be so, in microseconds. Where servers check the position
     * themselves, it is the required position minus the estimated one, which advances with the clock. Elsewhere only a
     * report of the replica can show it to be fresh: that may come at any moment, so the time is 0, or never while
     * health checks fail.
     */
    long untilFreshMicros(Server server, long requiredPosition) {
        if (checkedByServers) {
            return Math.max(0, requiredPosition - (context.nowMicros() - server.lag.lagMicros));
        }
        boolean unreachable =
                server.healthCheck.failures() > 0 && hasNoReportWithin(server, HealthChecker.REPORT_INTERVAL_MICROS);
        return unreachable ? Long.MAX_VALUE : 0;
    }

    /** Whether the server has stated no current position within the last {@code micros}. */
    boolean hasNoReportWithin(Server server, long micros) {
        return server.lag.reportedAtMicros == NEVER_MICROS
                || context.nowMicros() - server.lag.reportedAtMicros >= micros;
    }
}
