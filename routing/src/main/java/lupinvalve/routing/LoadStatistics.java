package lupinvalve.routing;

/**
 * What answers show of load, without deciding anything by it. Two ratios are kept for each server, each group and all
 * servers of one role: slowness (latency over the time that the work takes on an idle server) and pressure (latency
 * over the class's latency objective). The work of each class is estimated from the shortest latencies.
 */
final class LoadStatistics {
    private static final double INITIAL_PRESSURE_RATIO = InFlightLimit.TARGET_PRESSURE_RATIO / 2;
    private static final double INITIAL_SLOWNESS_RATIO = 2;
    /** First estimate of a class's work, as a part of its latency objective. */
    private static final double INITIAL_WORK_RATIO = 1 / 8.0;
    /** How fast the estimate of work falls to a shorter latency, and rises to a longer one. */
    private static final double WORK_FALL_RATIO = 0.1;

    private static final double WORK_RISE_RATIO = 0.02;

    /** The two means of one server or group. */
    static final class State {
        private final DecayingMean slowness = new DecayingMean();
        private final DecayingMean pressure = new DecayingMean();
    }

    private final RouterContext context;
    private final DecayingMean replicaPressure = new DecayingMean();
    private final DecayingMean primaryPressure = new DecayingMean();
    private final double[] workMicros;
    private double servedByWarmServers;

    LoadStatistics(RouterContext context) {
        this.context = context;
        workMicros = context.settings().classes().stream()
                .mapToDouble(requestClass -> requestClass.latencyObjectiveMicros() * INITIAL_WORK_RATIO)
                .toArray();
    }

    /** Latency over objective at a server; it leans on that at its group's replicas, that on all of its role. */
    double pressure(Server server) {
        boolean primary = server == server.group.primary();
        double all = (primary ? primaryPressure : replicaPressure).mean(context.nowMicros(), INITIAL_PRESSURE_RATIO);
        double prior = primary ? all : server.group.load.pressure.mean(context.nowMicros(), all);
        return server.load.pressure.mean(context.nowMicros(), prior);
    }

    /** Latency over work at a server; it leans on that at its group. */
    double slowness(Server server) {
        double prior = server.group.load.slowness.mean(context.nowMicros(), INITIAL_SLOWNESS_RATIO);
        return server.load.slowness.mean(context.nowMicros(), prior);
    }

    /** How long the work of a request of this class takes on an idle server. */
    double workMicros(PendingRequest request) {
        return workMicros[request.classIndex()];
    }

    /** How long an answer for a queued request will take at its group, as far as it is known. */
    double expectedLatencyMicros(PendingRequest request) {
        double all = replicaPressure.mean(context.nowMicros(), INITIAL_PRESSURE_RATIO);
        return request.group.load.pressure.mean(context.nowMicros(), all)
                * request.requestClass.latencyObjectiveMicros();
    }

    /** How many requests servers that are not in slow start have served. */
    double servedByWarmServers() {
        return servedByWarmServers;
    }

    /** Records a latency over objective. */
    void recordPressure(Server server, double ratio) {
        server.load.pressure.add(context.nowMicros(), ratio);
        if (server == server.group.primary()) {
            primaryPressure.add(context.nowMicros(), ratio);
        } else {
            server.group.load.pressure.add(context.nowMicros(), ratio);
            replicaPressure.add(context.nowMicros(), ratio);
        }
    }

    /** Records a served request; {@code warm} says whether it counts among those that warm servers served. */
    void recordServed(Server server, PendingRequest request, long latencyMicros, boolean warm) {
        double before = workMicros[request.classIndex()];
        workMicros[request.classIndex()] +=
                (latencyMicros < before ? WORK_FALL_RATIO : WORK_RISE_RATIO) * (latencyMicros - before);
        double slowness = latencyMicros / workMicros[request.classIndex()];
        server.load.slowness.add(context.nowMicros(), slowness);
        server.group.load.slowness.add(context.nowMicros(), slowness);
        recordPressure(server, (double) latencyMicros / request.requestClass.latencyObjectiveMicros());
        servedByWarmServers += warm ? 1 : 0;
    }
}
