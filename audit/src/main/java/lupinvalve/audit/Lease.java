package lupinvalve.audit;

/**
 * A pooler's right to act on what it knows, until the lease ends. It counts from before the request for it was sent, so
 * that the leader may count from later; and it ends early by the drift that two clocks may have. Times are of one
 * monotonic clock. Read from any thread, renewed by one.
 */
public final class Lease {
    /** How long a lease lasts: longer than a failed leader takes to be replaced, which is 1.2 s at most. */
    public static final long DURATION_MICROS = 2_000_000;
    /** How often a lease is renewed. */
    public static final long RENEW_INTERVAL_MICROS = 300_000;
    /** By how much two clocks may drift apart. */
    public static final double MAX_CLOCK_DRIFT_RATIO = 0.005;

    private volatile long untilMicros;

    /** A lease that has ended. */
    public Lease(long nowMicros) {
        untilMicros = nowMicros;
    }

    /**
     * The leader has granted a request.
     *
     * @param requestedMicros taken before the request was sent
     */
    public void onGranted(long requestedMicros, long durationMicros) {
        untilMicros = Math.max(untilMicros, endMicros(requestedMicros, durationMicros));
    }

    /** When a lease ends that was requested at a time and granted for a duration. */
    public static long endMicros(long requestedMicros, long durationMicros) {
        return requestedMicros + (long) (durationMicros * (1 - MAX_CLOCK_DRIFT_RATIO));
    }

    /** Whether the pooler may act now. */
    public boolean isValid(long nowMicros) {
        return nowMicros < untilMicros;
    }

    /** When it ends, or has ended. */
    public long untilMicros() {
        return untilMicros;
    }
}
