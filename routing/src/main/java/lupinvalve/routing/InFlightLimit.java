package lupinvalve.routing;

/**
 * Adaptive concurrency limit: bounds the number of attempts that this router has in flight to one server. The limit
 * falls while the server's latency ratio (mean latency over latency objective, see {@link LoadStatistics#latencyRatio})
 * is above its target, and grows while the limit is used. The initial and the least limit are totals over all routers,
 * which are divided by the number of routers.
 */
final class InFlightLimit {
    /**
     * The latency ratio above which the limit falls. The standard deviation of service times is about as large as their
     * mean. So if the mean latency is this part of the objective, few answers come after the objective.
     */
    static final double TARGET_LATENCY_RATIO = 0.25;

    /** The limit of a server that is new to the routers, for all of them together. */
    private static final double INITIAL_ATTEMPTS = 16;
    /** The least limit, for all routers together. */
    private static final double MIN_ATTEMPTS = 6;
    /** The greatest limit, for each router. */
    private static final double MAX_ATTEMPTS = 400;
    /** A router whose least limit is below this has too few attempts in flight to measure a server's load by them. */
    private static final double MIN_MEASURABLE_ATTEMPTS = 2;
    /** The limit grows only while more than this part of it is used. */
    private static final double GROWTH_MIN_USE_RATIO = 0.6;
    /** The growth of the limit with each call of {@link #adapt} that finds enough of it in use. */
    private static final double GROWTH_ATTEMPTS = 0.5;
    /** A rejection by a server at its capacity reduces the limit to this part of it. */
    private static final double REJECTED_RETAINED_RATIO = 0.8;
    /** The latency ratio that a rejection by a server at its capacity is recorded as. */
    private static final double REJECTED_LATENCY_RATIO = 1.5;
    /** The time after a rejection for which the server gets no attempts. */
    private static final long REJECTED_PAUSE_MICROS = 40_000;
    /**
     * A timeout is recorded as at most this multiple of the server's latency ratio, as the answer may have been lost
     * rather than late.
     */
    private static final double TIMEOUT_LATENCY_RATIO_MULTIPLE = 2;

    /** The limit of one server and the pause after its last rejection. */
    static final class State {
        private double limitAttempts;
        private long pausedUntilMicros = Long.MIN_VALUE;

        private State(double limitAttempts) {
            this.limitAttempts = limitAttempts;
        }
    }

    private final RouterContext context;
    private final LoadStatistics load;
    private final double minAttempts;
    private final double initialAttempts;
    private final boolean manyRouters;

    InFlightLimit(RouterContext context, LoadStatistics load) {
        this.context = context;
        this.load = load;
        initialAttempts = Math.max(1, INITIAL_ATTEMPTS / context.settings().instanceCount());
        minAttempts = Math.max(1, MIN_ATTEMPTS / context.settings().instanceCount());
        manyRouters = minAttempts < MIN_MEASURABLE_ATTEMPTS;
    }

    /** Returns the state of a server that is new to the router. */
    State newState() {
        return new State(initialAttempts);
    }

    /**
     * Whether there are so many routers, four or more, that each has too few attempts in flight to measure a server's
     * load by them. It depends on the number of routers only, not on the present traffic. The limit alone then can't
     * protect the servers, and {@link LoadShedding} adds to it.
     */
    boolean hasManyRouters() {
        return manyRouters;
    }

    /**
     * Whether a server may get one more attempt: it has rejected none within the last moments, and fewer attempts are
     * in flight to it than the given part of its limit, which counts as one attempt at least. Lost attempts don't
     * count, see {@link InFlightAttempts#countWithoutLost}.
     *
     * @param limitRatio the part of the limit that the attempt may fill, from 0 to 1
     */
    boolean hasCapacity(Server server, double limitRatio) {
        return context.nowMicros() >= server.limit.pausedUntilMicros
                && server.inFlight.countWithoutLost(context.nowMicros(), server.outlier.lastAnswerMicros())
                        < Math.max(1, server.limit.limitAttempts * limitRatio);
    }

    /**
     * Adapts the limit to the server's latency ratio; called once for each served request and each late timeout.
     * Latency grows about in proportion to the attempts in flight, so multiplying the limit by the factor (target /
     * latency ratio) brings latency to its target. Each call multiplies it by the factor to the power of 1 / limit, so
     * the whole factor is applied over a number of answers equal to the limit. The divisor of that exponent is at least
     * {@link DecayingMean#MAX_SAMPLES}, as the mean itself takes that many samples to follow a change.
     */
    void adapt(Server server) {
        double latencyRatio = load.latencyRatio(server);
        double limit = server.limit.limitAttempts;
        if (latencyRatio > TARGET_LATENCY_RATIO) {
            double perAnswerExponent = 1 / Math.max(DecayingMean.MAX_SAMPLES, limit);
            server.limit.limitAttempts =
                    Math.max(minAttempts, limit * Math.pow(TARGET_LATENCY_RATIO / latencyRatio, perAnswerExponent));
        } else if (server.inFlight.count() + 1 > limit * GROWTH_MIN_USE_RATIO) {
            server.limit.limitAttempts = Math.min(MAX_ATTEMPTS, limit + GROWTH_ATTEMPTS);
        }
    }

    /**
     * A server at its capacity rejected an attempt: reduces its limit and starts no attempts there for
     * {@link #REJECTED_PAUSE_MICROS}, so that retries don't pile up there.
     */
    void serverRejected(Server server) {
        server.limit.pausedUntilMicros = context.nowMicros() + REJECTED_PAUSE_MICROS;
        server.limit.limitAttempts = Math.max(minAttempts, server.limit.limitAttempts * REJECTED_RETAINED_RATIO);
        load.recordLatencyRatio(server, REJECTED_LATENCY_RATIO);
    }

    /**
     * An attempt timed out although the server does not count as silent: records it like a late answer and adapts the
     * limit.
     *
     * @param latencyRatio the time that the attempt took, over the latency objective of its class
     */
    void attemptTimedOut(Server server, double latencyRatio) {
        load.recordLatencyRatio(
                server, Math.min(latencyRatio, TIMEOUT_LATENCY_RATIO_MULTIPLE * load.latencyRatio(server)));
        adapt(server);
    }

    /**
     * The server's process has restarted: bounds the limit by its initial value, as what was measured of the old
     * process does not hold for the new one.
     */
    void serverRestarted(Server server) {
        server.limit.limitAttempts = Math.min(server.limit.limitAttempts, initialAttempts);
    }
}
