package lupinvalve.routing;

/**
 * Evaluates how an attempt ended as evidence about its server, and updates each rule that depends on it: outlier
 * detection, restart detection, in-flight limit, load statistics and idle timeout.
 */
final class AttemptFeedback {
    private final RouterContext context;
    private final OutlierDetection outliers;
    private final RestartDetector restarts;
    private final InFlightLimit limit;
    private final LoadStatistics load;
    private final SlowStart slowStart;
    private final IdleTimeout idleTimeout;

    AttemptFeedback(
            RouterContext context,
            OutlierDetection outliers,
            RestartDetector restarts,
            InFlightLimit limit,
            LoadStatistics load,
            SlowStart slowStart,
            IdleTimeout idleTimeout) {
        this.context = context;
        this.outliers = outliers;
        this.restarts = restarts;
        this.limit = limit;
        this.load = load;
        this.slowStart = slowStart;
        this.idleTimeout = idleTimeout;
    }

    /**
     * Updates the rules with the end of one attempt.
     *
     * @param elapsedMicros the time from the attempt's start to its end
     */
    void attemptEnded(Attempt attempt, AttemptOutcome outcome, long elapsedMicros) {
        Server server = attempt.server();
        switch (outcome) {
            case SERVED -> served(server, attempt.request(), elapsedMicros);
            case MISDIRECTED, ERROR -> answered(server);
            case REJECTED -> {
                answered(server);
                limit.serverRejected(server);
            }
            case TIMED_OUT -> timedOut(server, attempt, elapsedMicros);
            case NOT_CONNECTED -> connectionFailed(server);
            case BROKEN -> {
                if (outliers.recordBrokenConnection(server)) {
                    connectionFailed(server);
                }
            }
            case CANCELLED, NOT_SENT -> {}
        }
    }

    private void answered(Server server) {
        outliers.recordAnswer(server);
        restarts.recordAnswer(server);
    }

    private void served(Server server, PendingRequest request, long latencyMicros) {
        answered(server);
        outliers.recordServed(server, request);
        boolean countsForWarmServers = !slowStart.inSlowStart(server) && !request.longRead;
        load.recordServed(server, request, latencyMicros, countsForWarmServers);
        limit.adapt(server);
    }

    private void connectionFailed(Server server) {
        idleTimeout.connectionsFailed(server);
        restarts.recordFailedConnection(server);
        outliers.recordFailedConnection(server);
    }

    /**
     * One attempt without an answer proves little about its server, least of all if the client's deadline cut it short.
     * So a timeout counts as silence of the server only if the attempt is overdue and the server has answered nothing
     * since the attempt started; any other timeout counts as a late answer.
     */
    private void timedOut(Server server, Attempt attempt, long elapsedMicros) {
        boolean silent = server.outlier.lastAnswerMicros() < attempt.startedMicros()
                && context.nowMicros() >= attempt.overdueAtMicros();
        if (silent && idleTimeout.mayHaveBeenDropped(attempt)) {
            // The idle connection may have been dropped rather than the server be down: the next attempt, on a new
            // connection, shows which.
            idleTimeout.connectionDropped(attempt);
        } else if (silent) {
            outliers.recordSilentTimeout(server);
        } else {
            long objectiveMicros = attempt.request().requestClass.latencyObjectiveMicros();
            limit.attemptTimedOut(server, (double) elapsedMicros / objectiveMicros);
        }
    }
}
