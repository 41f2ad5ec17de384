package lupinvalve.routing;

/**
 * Load shedding where routers are many and each sends too little for a limit of its own: the further latencies exceed
 * their target, the larger the part of requests that is rejected at once, clients' retries first.
 */
final class LoadShedding {
    private static final double TARGET_PRESSURE_RATIO = 0.42;
    /** Writes have nowhere else to go. */
    private static final double WRITE_TARGET_MULTIPLE = 2;
    /** Part of what the target leaves that is admitted, as a power. */
    private static final double STEEPNESS_EXPONENT = 3;
    /** The least draw of a client's retry: only the highest draws are shed at first. */
    private static final double CLIENT_RETRY_MIN_DRAW = 0.9;

    private final RouterContext context;
    private final LoadStatistics load;
    private final InFlightLimit limit;

    LoadShedding(RouterContext context, LoadStatistics load, InFlightLimit limit) {
        this.context = context;
        this.load = load;
        this.limit = limit;
    }

    /** The draw that a request keeps for all its attempts, in [0, 1). */
    double draw(boolean clientRetry) {
        double draw = context.random().nextDouble();
        return clientRetry ? CLIENT_RETRY_MIN_DRAW + (1 - CLIENT_RETRY_MIN_DRAW) * draw : draw;
    }

    /** Whether a request is too much for a server of whose limit it may use a part. */
    boolean sheds(Server server, PendingRequest request, double limitRatio) {
        double target = TARGET_PRESSURE_RATIO * (request.isWrite() ? WRITE_TARGET_MULTIPLE : limitRatio);
        double withinTarget = Math.min(1, target / load.pressure(server));
        return limit.isSparse() && request.sheddingDraw >= Math.pow(withinTarget, STEEPNESS_EXPONENT);
    }
}
