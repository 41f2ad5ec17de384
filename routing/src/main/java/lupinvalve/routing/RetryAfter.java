package lupinvalve.routing;

/** The Retry-After of a rejected request: early enough for its client to be served in time, and not as one wave. */
final class RetryAfter {
    /** Part of the latency objective after which a read should come back, before jitter. */
    private static final double READ_OBJECTIVE_RATIO = 0.18;
    /** Jitter multiplies it by this to one more than this. */
    private static final double MIN_JITTER_RATIO = 0.5;

    private static final long WRITE_MICROS = 50_000;
    private final RouterContext context;

    RetryAfter(RouterContext context) {
        this.context = context;
    }

    /** The time to state, 0 where the site allows none. */
    long micros(RequestClass requestClass) {
        RouterSettings.SiteLimits limits = context.settings().limits();
        long maxMicros = limits.retryAfter() ? limits.maxRetryAfterMicros() : 0;
        double readMicros = READ_OBJECTIVE_RATIO
                * (MIN_JITTER_RATIO + context.random().nextDouble())
                * requestClass.latencyObjectiveMicros();
        boolean write = requestClass.access() == RequestClass.Access.WRITE;
        return Math.min(write ? WRITE_MICROS : (long) readMicros, maxMicros);
    }
}
