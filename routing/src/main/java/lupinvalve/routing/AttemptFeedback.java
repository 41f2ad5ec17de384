package lupinvalve.routing;

/** What the end of an attempt shows of its server: tells each rule that has to know. */
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

    void attemptEnded(Attempt attempt, AttemptOutcome outcome, long latencyMicros) {
        Server server = attempt.server();
        switch (outcome) {
            case SERVED -> served(server, attempt.request(), latencyMicros);
            case MISSED, ERROR -> answered(server);
            case REJECTED -> {
                answered(server);
                limit.serverRejected(server);
            }
            case TIMED_OUT -> timedOut(server, attempt, latencyMicros);
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
        boolean warm = !slowStart.inSlowStart(server) && !request.longRead;
        load.recordServed(server, request, latencyMicros, warm);
        limit.adapt(server);
    }

    private void connectionFailed(Server server) {
        idleTimeout.connectionsFailed(server);
        restarts.recordFailedConnection(server);
        outliers.recordFailedConnection(server);
    }

    /** One lost attempt proves little, least of all when the client's own time cut it short. */
    private void timedOut(Server server, Attempt attempt, long elapsedMicros) {
        boolean silent = server.outlier.lastAnswerMicros() < attempt.startedMicros()
                && context.nowMicros() >= attempt.overdueMicros();
        if (silent && idleTimeout.mayHaveBeenDropped(attempt)) {
            // The connection may be what was lost: the next attempt on a new one will tell.
            idleTimeout.connectionDropped(attempt);
        } else if (silent) {
            outliers.recordSilentTimeout(server);
        } else {
            long objective = attempt.request().requestClass.latencyObjectiveMicros();
            limit.attemptTimedOut(server, (double) elapsedMicros / objective);
        }
    }
}
