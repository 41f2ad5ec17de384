package lupinvalve.routing;

/**
 * Until when a request is queued. The newest are served first, so what has waited for long is hardly served any more;
 * one rejected early can still come back in time.
 */
final class QueueDeadline {
    /** Parts of the latency objective: reads wait for a replica, then the primary; writes for theirs. */
    private static final double READ_OBJECTIVE_RATIO = 0.22;

    private static final double WRITE_OBJECTIVE_RATIO = 0.5;
    /** Part of the client's time after which a request that has reached no server is given up. */
    private static final double NEVER_SENT_TIME_RATIO = 0.49;
    /** Part of the objective that is reserved for the answer's latency at most. */
    private static final double MAX_LATENCY_OBJECTIVE_RATIO = 0.7;

    private final LoadStatistics load;

    QueueDeadline(LoadStatistics load) {
        this.load = load;
    }

    /** The time at which a queued request is given up. */
    long micros(PendingRequest request) {
        long objective = request.requestClass.latencyObjectiveMicros();
        double longestWait =
                request.arrivedMicros + (request.isWrite() ? WRITE_OBJECTIVE_RATIO : READ_OBJECTIVE_RATIO) * objective;
        double latency = Math.min(load.expectedLatencyMicros(request), MAX_LATENCY_OBJECTIVE_RATIO * objective);
        return (long) Math.min(Math.min(longestWait, lastStartMicros(request)), request.losesValueAtMicros() - latency);
    }

    private double lastStartMicros(PendingRequest request) {
        return request.history.reachedServer()
                ? request.expiresMicros - Math.max(PendingRequest.ANSWER_MARGIN_MICROS, load.workMicros(request))
                : request.arrivedMicros + NEVER_SENT_TIME_RATIO * (request.expiresMicros - request.arrivedMicros);
    }
}
