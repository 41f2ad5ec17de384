package lupinvalve.routing;

/**
 * How far each server has applied the primary's log, by its answers and health checks, and whether a replica is fresh
 * enough for a read. All positions and lags are in microseconds; see {@link LogPosition}.
 */
final class ReplicationLag {
    /** How much less a replica is trusted to have caught up after each attempt that it was behind for. */
    private static final long ALLOWANCE_STEP_MICROS = 2_000;

    /** What is known of one server's log position. */
    static final class State {
        private long position = LogPosition.UNKNOWN;
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

    /** Whether servers themselves refuse reads that they are too far behind for. */
    boolean isCheckedByServers() {
        return checkedByServers;
    }

    /** Records a stated position. Positions never go back: the greatest one stays proven. */
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
     * Whether a replica may be sent a read that needs a position: at a proven one; where servers check it themselves,
     * also where the lag last seen makes it likely, with less allowance after each attempt: a replica that is behind
     * refuses at once, and all attempts would be used up within a moment.
     */
    boolean isFresh(Server server, long requiredPosition, int earlierAttempts) {
        State state = server.lag;
        long allowance = context.settings().replication().waitMicros() / 2 - earlierAttempts * ALLOWANCE_STEP_MICROS;
        return state.position >= requiredPosition
                || checkedByServers
                        && (state.lagMicros == UNKNOWN_LAG_MICROS
                                || context.nowMicros() - state.lagMicros + allowance >= requiredPosition);
    }

    /**
     * In how long a replica that is not fresh may be so, as far as it is known. Where servers check nothing, only a
     * report helps, and none comes while health checks fail.
     */
    long untilFreshMicros(Server server, long requiredPosition) {
        if (checkedByServers) {
            return Math.max(0, requiredPosition - (context.nowMicros() - server.lag.lagMicros));
        }
        boolean unreachable =
                server.healthCheck.failures() > 0 && hasNoReportFor(server, HealthChecker.REPORT_INTERVAL_MICROS);
        return unreachable ? Long.MAX_VALUE : 0;
    }

    /** Whether the server has stated no position for so long. */
    boolean hasNoReportFor(Server server, long micros) {
        return server.lag.reportedAtMicros == NEVER_MICROS
                || context.nowMicros() - server.lag.reportedAtMicros >= micros;
    }
}
