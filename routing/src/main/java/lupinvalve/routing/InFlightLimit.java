package lupinvalve.routing;

/**
 * Adaptive concurrency limit: bounds the attempts that this router has in flight to one server, by the latencies that
 * its attempts meet. Bounds are for all routers together and divided by their number.
 */
final class InFlightLimit {
    /** Part of its objective that an answer may take in the mean: works vary about as their mean, so few are late. */
    static final double TARGET_PRESSURE_RATIO = 0.25;

    private static final double INITIAL_ATTEMPTS = 16;
    private static final double MIN_ATTEMPTS = 6;
    /** For one router. */
    private static final double MAX_ATTEMPTS = 400;
    /** A router whose least bound is below this sends too little to tell a server's load. */
    private static final double MEASURABLE_ATTEMPTS = 2;
    /** The limit grows only while this part of it is used. */
    private static final double GROWTH_USE_RATIO = 0.6;

    /** Growth with each call of {@link #adapt} that finds most of the limit in use. */
    private static final double GROWTH_ATTEMPTS = 0.5;
    /** What a rejection by a full server leaves of the limit. */
    private static final double REJECTED_CUT_RATIO = 0.8;
    /** Pressure that a rejection by a full server counts as. */
    private static final double REJECTED_PRESSURE_RATIO = 1.5;

    private static final long REJECTED_PAUSE_MICROS = 40_000;
    /** A timeout counts as at most so many times the pressure known: its answer may have been lost. */
    private static final double TIMEOUT_PRESSURE_MULTIPLE = 2;

    /** The limit of one server. */
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
    private final boolean sparse;

    InFlightLimit(RouterContext context, LoadStatistics load) {
        this.context = context;
        this.load = load;
        initialAttempts = Math.max(1, INITIAL_ATTEMPTS / context.settings().instanceCount());
        minAttempts = Math.max(1, MIN_ATTEMPTS / context.settings().instanceCount());
        sparse = minAttempts < MEASURABLE_ATTEMPTS;
    }

    /** The state of a server that is new to the router. */
    State newState() {
        return new State(initialAttempts);
    }

    /** Whether there are so many routers that each has too few attempts in flight to tell a server's load by. */
    boolean isSparse() {
        return sparse;
    }

    /** Whether a server may get one more attempt within a part of its limit. */
    boolean hasCapacity(Server server, double limitRatio) {
        return context.nowMicros() >= server.limit.pausedUntilMicros
                && server.inFlight.countWithoutLost(context.nowMicros(), server.outlier.lastAnswerMicros())
                        < Math.max(1, server.limit.limitAttempts * limitRatio);
    }

    /** Latency grows with what is in flight: the limit follows their ratio within one turn of its attempts. */
    void adapt(Server server) {
        double pressure = load.pressure(server);
        double limit = server.limit.limitAttempts;
        if (pressure > TARGET_PRESSURE_RATIO) {
            double oneTurnExponent = 1 / Math.max(DecayingMean.MAX_SAMPLES, limit);
            server.limit.limitAttempts =
                    Math.max(minAttempts, limit * Math.pow(TARGET_PRESSURE_RATIO / pressure, oneTurnExponent));
        } else if (server.inFlight.count() + 1 > limit * GROWTH_USE_RATIO) {
            server.limit.limitAttempts = Math.min(MAX_ATTEMPTS, limit + GROWTH_ATTEMPTS);
        }
    }

    /** A full server rejected an attempt: it gets nothing for a moment, so that retries don't pile up there. */
    void serverRejected(Server server) {
        server.limit.pausedUntilMicros = context.nowMicros() + REJECTED_PAUSE_MICROS;
        server.limit.limitAttempts = Math.max(minAttempts, server.limit.limitAttempts * REJECTED_CUT_RATIO);
        load.recordPressure(server, REJECTED_PRESSURE_RATIO);
    }

    /** An attempt timed out while others were answered. */
    void attemptTimedOut(Server server, double pressureRatio) {
        load.recordPressure(server, Math.min(pressureRatio, TIMEOUT_PRESSURE_MULTIPLE * load.pressure(server)));
        adapt(server);
    }

    /** The server's process is new: what was learned of the one before does not hold. */
    void serverRestarted(Server server) {
        server.limit.limitAttempts = Math.min(server.limit.limitAttempts, initialAttempts);
    }
}
