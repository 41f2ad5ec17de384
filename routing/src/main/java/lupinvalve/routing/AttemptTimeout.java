package lupinvalve.routing;

/**
 * Computes the time limits of an attempt from its expected latency. The expected latency is the service time of the
 * request's class (see {@link LoadStatistics#serviceTimeMicros}) times the server's current slowdown (see
 * {@link LoadStatistics#slowdown}). An attempt that takes several times its expected latency is overdue, which counts
 * against the server's health; after several times that, it is abandoned.
 */
final class AttemptTimeout {
    /** An attempt is overdue after this multiple of its expected latency. */
    private static final double OVERDUE_MULTIPLE = 4;

    /** An attempt is never overdue sooner than this. */
    private static final long MIN_OVERDUE_MICROS = 100_000;
    /** An attempt is abandoned after this multiple of the time after which it is overdue. */
    private static final double TIMEOUT_OVERDUE_MULTIPLE = 4;

    /** The server gets at least this time to begin, unless the attempt's timeout is shorter. */
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

    /**
     * Returns the time in microseconds after its start at which an attempt is overdue: a multiple of its expected
     * latency, with a lower bound. Where servers check whether they are fresh enough for a read, the time is longer by
     * the time for which a server may wait to catch up.
     */
    double overdueAfterMicros(Server server, PendingRequest request) {
        double multipleOfExpectedMicros = OVERDUE_MULTIPLE * load.slowdown(server) * load.serviceTimeMicros(request);
        double overdueAfterMicros = Math.max(MIN_OVERDUE_MICROS, multipleOfExpectedMicros);
        if (lag.isCheckedByServers() && !request.isWrite()) {
            overdueAfterMicros += context.settings().replication().waitMicros();
        }
        return overdueAfterMicros;
    }

    /**
     * Returns the time in microseconds after its start at which an attempt is abandoned. An attempt of a request that
     * may run more than once is abandoned early enough for another attempt: after {@link #TIMEOUT_OVERDUE_MULTIPLE}
     * times the overdue time, or already after the overdue time if its idle connection may have been dropped unnoticed.
     * A request that must not run twice, or for which no time for another attempt would be left, gets all the time
     * until its client's deadline.
     *
     * @param overdueAfterMicros the result of {@link #overdueAfterMicros} for the attempt
     * @param connectionIdleMicros how long the connection that the attempt will use has been idle
     */
    long timeoutMicros(PendingRequest request, double overdueAfterMicros, long connectionIdleMicros) {
        long remainingMicros = request.expiresMicros - context.nowMicros();
        double timeoutMicros =
                overdueAfterMicros * (idleTimeout.isSuspect(connectionIdleMicros) ? 1 : TIMEOUT_OVERDUE_MULTIPLE);
        boolean leavesTimeForRetry = remainingMicros - timeoutMicros > load.serviceTimeMicros(request);
        return request.requestClass.effect() != RequestClass.Effect.UNSAFE && leavesTimeForRetry
                ? (long) timeoutMicros
                : remainingMicros;
    }

    /**
     * Returns the time in microseconds within which the server must begin to run the request, or else drop it. This is
     * the timeout, or the time until an answer loses its value if that comes first, so that a server spends no work on
     * an answer that is worth little when it comes.
     */
    long startWithinMicros(PendingRequest request, long timeoutMicros) {
        long untilValueLostMicros = request.losesValueAtMicros() - context.nowMicros();
        return Math.min(timeoutMicros, Math.max(MIN_START_WITHIN_MICROS, untilValueLostMicros));
    }
}
