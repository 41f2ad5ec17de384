package lupinvalve.routing;

/**
 * Computes until when a request stays queued. The newest requests are served first, so one that has waited for long has
 * little chance to be served, while a client whose request is rejected early can still retry in time.
 */
final class QueueDeadline {
    /**
     * A read is queued for this part of its latency objective at most. It first waits for a replica and then for the
     * primary, so this is longer than the wait in {@link PrimaryFallback}.
     */
    private static final double READ_OBJECTIVE_RATIO = 0.22;
    /** A write is queued for the primary for this part of its latency objective at most. */
    private static final double WRITE_OBJECTIVE_RATIO = 0.5;
    /**
     * A request that has reached no server is given up after this part of the time that its client waits, so that over
     * half of it is left for the client's retry.
     */
    private static final double NEVER_SENT_TIME_RATIO = 0.49;
    /**
     * A request is given up so early that the expected latency still fits before the answer loses its value. That
     * latency counts as at most this part of the objective.
     */
    private static final double MAX_LATENCY_OBJECTIVE_RATIO = 0.7;

    private final LoadStatistics load;

    QueueDeadline(LoadStatistics load) {
        this.load = load;
    }

    /**
     * Returns the time on the router's clock at which a queued request is given up, the earliest of three: the longest
     * wait for its kind has passed; the latest useful time to start an attempt, see {@link #lastStartMicros}, has
     * passed; or the answer could only come when it has lost its value, that is, the time until then is shorter than
     * the expected latency.
     */
    long micros(PendingRequest request) {
        long objectiveMicros = request.requestClass.latencyObjectiveMicros();
        double longestWaitEndsMicros = request.arrivedMicros
                + (request.isWrite() ? WRITE_OBJECTIVE_RATIO : READ_OBJECTIVE_RATIO) * objectiveMicros;
        double latencyMicros =
                Math.min(load.expectedLatencyMicros(request), MAX_LATENCY_OBJECTIVE_RATIO * objectiveMicros);
        return (long) Math.min(
                Math.min(longestWaitEndsMicros, lastStartMicros(request)),
                request.losesValueAtMicros() - latencyMicros);
    }

    /**
     * Returns the latest useful time to start an attempt. For a request that has reached a server this leaves the
     * service time before the client's deadline. One that has not is given up earlier, while its client can still retry
     * in time.
     */
    private double lastStartMicros(PendingRequest request) {
        return request.history.reachedServer()
                ? request.expiresMicros - Math.max(PendingRequest.ANSWER_MARGIN_MICROS, load.serviceTimeMicros(request))
                : request.arrivedMicros + NEVER_SENT_TIME_RATIO * (request.expiresMicros - request.arrivedMicros);
    }
}
