package lupinvalve.routing;

/**
 * Computes the Retry-After of a rejected request. Its time is short enough for the client's retry to be served within
 * the latency objective. For reads it is random, so that the retries of many rejected clients don't arrive at once.
 */
final class RetryAfter {
    /** The mean Retry-After of a read, as a part of its latency objective. */
    private static final double READ_OBJECTIVE_RATIO = 0.18;
    /** The least jitter factor; the factor is uniform between this and this plus 1, so 1 in the mean. */
    private static final double MIN_JITTER_RATIO = 0.5;

    /** The Retry-After of a write. */
    private static final long WRITE_MICROS = 50_000;

    private final RouterContext context;

    RetryAfter(RouterContext context) {
        this.context = context;
    }

    /** Returns the Retry-After in microseconds; 0, which means none is stated, where the deployment allows none. */
    long micros(RequestClass requestClass) {
        RouterSettings.DeploymentLimits limits = context.settings().limits();
        long maxMicros = limits.retryAfter() ? limits.maxRetryAfterMicros() : 0;
        double readMicros = READ_OBJECTIVE_RATIO
                * (MIN_JITTER_RATIO + context.random().nextDouble())
                * requestClass.latencyObjectiveMicros();
        boolean write = requestClass.access() == RequestClass.Access.WRITE;
        return Math.min(write ? WRITE_MICROS : (long) readMicros, maxMicros);
    }
}
