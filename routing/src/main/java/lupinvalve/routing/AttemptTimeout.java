package lupinvalve.routing;

/** For how long an attempt is waited for, by the latency that its server and class lead one to expect. */
final class AttemptTimeout {
    /** An attempt is overdue after so many times the latency expected. */
    private static final double OVERDUE_MULTIPLE = 4;

    private static final long MIN_OVERDUE_MICROS = 100_000;
    /** It is called off after so many times that. */
    private static final double TIMEOUT_OVERDUE_MULTIPLE = 4;

    private static final long MIN_START_WITHIN_MICROS = 10_000;
    private final RouterContext context;
    private final LoadStatistics load;
    private final ReplicationLag lag;
    private final IdleTimeout idleTimeout;

    AttemptTimeout(RouterContext context, LoadStatistics load, ReplicationLag lag, IdleTimeout idleTimeout) {
        this.context = context;
        this.load = load;
        this.lag = lag;
        this.idleTimeout = idleTimeout;
    }

    /** How long after its start an attempt is overdue; servers that wait to catch up have their time for that. */
    double overdueAfterMicros(Server server, PendingRequest request) {
        double expected = OVERDUE_MULTIPLE * load.slowness(server) * load.workMicros(request);
        double overdue = Math.max(MIN_OVERDUE_MICROS, expected);
        if (lag.isCheckedByServers() && !request.isWrite()) {
            overdue += context.settings().replication().waitMicros();
        }
        return overdue;
    }

    /**
     * When an attempt is called off: what can be retried is so in time for another attempt, and sooner where its
     * connection is in doubt; what can't has all the time that its client waits.
     */
    long timeoutMicros(PendingRequest request, double overdueMicros, long connectionIdleMicros) {
        long remaining = request.expiresMicros - context.nowMicros();
        double timeout = overdueMicros * (idleTimeout.mayBeStale(connectionIdleMicros) ? 1 : TIMEOUT_OVERDUE_MULTIPLE);
        boolean leavesTime = remaining - timeout > load.workMicros(request);
        return request.requestClass.effect() != RequestClass.Effect.UNSAFE && leavesTime ? (long) timeout : remaining;
    }

    /** Within which time the server must begin, or drop the attempt: nobody wants a late answer of little worth. */
    long startWithinMicros(PendingRequest request, long timeoutMicros) {
        long untilValueLost = request.losesValueAtMicros() - context.nowMicros();
        return Math.min(timeoutMicros, Math.max(MIN_START_WITHIN_MICROS, untilValueLost));
    }
}
