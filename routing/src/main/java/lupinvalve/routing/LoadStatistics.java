package lupinvalve.routing;

/**
 * Load statistics from the latencies of answers; other types decide by them. Two mean ratios are kept:
 *
 * <ul>
 *   <li>slowdown: latency over service time, the time that the request takes on an idle server. It shows how loaded a
 *       server is, whatever the mix of classes. Kept for each server and each group.
 *   <li>latency ratio: latency over the latency objective of the request's class. It shows how near answers are to
 *       being late. Kept for each server, each group and all servers of one role.
 * </ul>
 *
 * <p>Service times are estimated for each class, from the shortest latencies.
 */
final class LoadStatistics {
    /** The latency ratio before any answer: half of the in-flight limit's target. */
    private static final double INITIAL_LATENCY_RATIO = InFlightLimit.TARGET_LATENCY_RATIO / 2;
    /** The slowdown before any answer. */
    private static final double INITIAL_SLOWDOWN_RATIO = 2;
    /** The first estimate of a class's service time, as a part of its latency objective. */
    private static final double INITIAL_SERVICE_TIME_RATIO = 1 / 8.0;
    /**
     * The part of the difference by which a shorter latency lowers the estimated service time. It is greater than the
     * part for a longer one, so the estimate stays near the shortest latencies, which include little waiting.
     */
    private static final double SERVICE_TIME_FALL_RATIO = 0.1;
    /** The part of the difference by which a longer latency raises the estimated service time. */
    private static final double SERVICE_TIME_RISE_RATIO = 0.02;

    /** The two mean ratios of one server or group. */
    static final class State {
        private final DecayingMean slowdown = new DecayingMean();
        private final DecayingMean latencyRatio = new DecayingMean();
    }

    private final RouterContext context;
    private final DecayingMean replicaLatencyRatio = new DecayingMean();
    private final DecayingMean primaryLatencyRatio = new DecayingMean();
    private final double[] serviceTimeMicros;
    private double servedByWarmServers;

    LoadStatistics(RouterContext context) {
        this.context = context;
        serviceTimeMicros = context.settings().classes().stream()
                .mapToDouble(requestClass -> requestClass.latencyObjectiveMicros() * INITIAL_SERVICE_TIME_RATIO)
                .toArray();
    }

    /**
     * Returns the mean ratio of latency over latency objective at a server. The prior of a replica's mean is the mean
     * over the replicas of its group, whose prior is the mean over all replicas; that of a primary is the mean over all
     * primaries. So a server with few answers of its own is judged by similar servers.
     */
    double latencyRatio(Server server) {
        boolean primary = server == server.group.primary();
        double roleRatio =
                (primary ? primaryLatencyRatio : replicaLatencyRatio).mean(context.nowMicros(), INITIAL_LATENCY_RATIO);
        double prior = primary ? roleRatio : server.group.load.latencyRatio.mean(context.nowMicros(), roleRatio);
        return server.load.latencyRatio.mean(context.nowMicros(), prior);
    }

    /** Returns the mean ratio of latency over service time at a server; its prior is the mean over its group. */
    double slowdown(Server server) {
        double prior = server.group.load.slowdown.mean(context.nowMicros(), INITIAL_SLOWDOWN_RATIO);
        return server.load.slowdown.mean(context.nowMicros(), prior);
    }

    /** Returns the estimated time in microseconds that a request of this class takes on an idle server. */
    double serviceTimeMicros(PendingRequest request) {
        return serviceTimeMicros[request.classIndex()];
    }

    /**
     * Returns the expected latency in microseconds of a queued request once it is sent to its group: the latency ratio
     * of the group's replicas times the request's latency objective.
     */
    double expectedLatencyMicros(PendingRequest request) {
        double roleRatio = replicaLatencyRatio.mean(context.nowMicros(), INITIAL_LATENCY_RATIO);
        return request.group.load.latencyRatio.mean(context.nowMicros(), roleRatio)
                * request.requestClass.latencyObjectiveMicros();
    }

    /**
     * Returns the number of requests, long-running reads excepted, that servers not in slow start have served for this
     * router.
     */
    double servedByWarmServers() {
        return servedByWarmServers;
    }

    /** Records one ratio of latency over latency objective for a server, its group (replicas only) and its role. */
    void recordLatencyRatio(Server server, double ratio) {
        server.load.latencyRatio.add(context.nowMicros(), ratio);
        if (server == server.group.primary()) {
            primaryLatencyRatio.add(context.nowMicros(), ratio);
        } else {
            server.group.load.latencyRatio.add(context.nowMicros(), ratio);
            replicaLatencyRatio.add(context.nowMicros(), ratio);
        }
    }

    /**
     * Records a served request: updates the estimated service time of its class and both ratios.
     *
     * @param latencyMicros the time from the attempt's start to its answer
     * @param countsForWarmServers whether the request counts for {@link #servedByWarmServers}
     */
    void recordServed(Server server, PendingRequest request, long latencyMicros, boolean countsForWarmServers) {
        double oldServiceTimeMicros = serviceTimeMicros[request.classIndex()];
        serviceTimeMicros[request.classIndex()] +=
                (latencyMicros < oldServiceTimeMicros ? SERVICE_TIME_FALL_RATIO : SERVICE_TIME_RISE_RATIO)
                        * (latencyMicros - oldServiceTimeMicros);
        double slowdown = latencyMicros / serviceTimeMicros[request.classIndex()];
        server.load.slowdown.add(context.nowMicros(), slowdown);
        server.group.load.slowdown.add(context.nowMicros(), slowdown);
        recordLatencyRatio(server, (double) latencyMicros / request.requestClass.latencyObjectiveMicros());
        servedByWarmServers += countsForWarmServers ? 1 : 0;
    }
}
