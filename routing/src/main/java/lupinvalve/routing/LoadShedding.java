package lupinvalve.routing;

/**
 * Load shedding: rejects a part of the requests at once while latencies exceed their target; the further they exceed
 * it, the larger the part. Clients' retries are rejected first. It applies only where there are so many routers that
 * each sends too little to one server for an {@link InFlightLimit} of its own, see
 * {@link InFlightLimit#hasManyRouters}.
 */
final class LoadShedding {
    /** The latency ratio (mean latency over latency objective) above which load is shed. */
    private static final double TARGET_LATENCY_RATIO = 0.42;
    /** The target for writes is this multiple of that for reads, as only the primary can serve a write. */
    private static final double WRITE_TARGET_MULTIPLE = 2;
    /** The part of the requests that is admitted is (target / latency ratio) to the power of this. */
    private static final double STEEPNESS_EXPONENT = 3;
    /** The lowest draw of a client's retry. Requests with the highest draws are shed first. */
    private static final double CLIENT_RETRY_MIN_DRAW = 0.9;

    private final RouterContext context;
    private final LoadStatistics load;
    private final InFlightLimit limit;

    LoadShedding(RouterContext context, LoadStatistics load, InFlightLimit limit) {
        this.context = context;
        this.load = load;
        this.limit = limit;
    }

    /**
     * Draws the random number, uniform in [0, 1), that determines how soon a request is shed; a client's retry gets one
     * in the upper end of that range. A request keeps it for all its attempts, so that a retry doesn't draw anew.
     */
    double draw(boolean clientRetry) {
        double draw = context.random().nextDouble();
        return clientRetry ? CLIENT_RETRY_MIN_DRAW + (1 - CLIENT_RETRY_MIN_DRAW) * draw : draw;
    }

    /**
     * Whether load shedding rejects a request at a server. The part of requests that is admitted is (target / latency
     * ratio) ^ {@link #STEEPNESS_EXPONENT}, or all of them below the target: an exponent over 1 lets it fall steeply
     * once the target is exceeded. A request is admitted if its draw is below that part.
     *
     * @param limitRatio the part of the server's in-flight limit that the request may fill; a read's target latency
     *     ratio is reduced to the same part
     */
    boolean sheds(Server server, PendingRequest request, double limitRatio) {
        double targetRatio = TARGET_LATENCY_RATIO * (request.isWrite() ? WRITE_TARGET_MULTIPLE : limitRatio);
        double targetOverLatencyRatio = Math.min(1, targetRatio / load.latencyRatio(server));
        return limit.hasManyRouters() && request.sheddingDraw >= Math.pow(targetOverLatencyRatio, STEEPNESS_EXPONENT);
    }
}
