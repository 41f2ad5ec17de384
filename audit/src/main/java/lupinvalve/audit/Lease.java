package lupinvalve.audit;

/**
 * A pooler's permission to act on its applied configuration, until the lease ends. The duration counts from before the
 * request was sent, while the leader counts from the later grant; and the lease ends early by the maximum drift between
 * two clocks. So it never ends later than the leader assumes. Times are of one monotonic clock. Read by any thread,
 * renewed by one.
 */
public final class Lease {
    /** Duration of a lease: longer than the replacement of a failed leader takes, which is 1.2 s at most. */
    public static final long DURATION_MICROS = 2_000_000;
    /** Interval between renewals of a lease. */
    public static final long RENEW_INTERVAL_MICROS = 300_000;
    /** Maximum drift between two clocks, as a ratio of the elapsed time. */
    public static final double MAX_CLOCK_DRIFT_RATIO = 0.005;

    private volatile long untilMicros;

    /** Creates a lease that has already ended. */
    public Lease(long nowMicros) {
        untilMicros = nowMicros;
    }

    /**
     * Extends the lease when the leader has granted a request.
     *
     * @param requestedMicros a time before the request was sent
     */
    public void onGranted(long requestedMicros, long durationMicros) {
        untilMicros = Math.max(untilMicros, endMicros(requestedMicros, durationMicros));
    }

    /** End of a lease by its holder's clock, from the time of the request and the granted duration. */
    public static long endMicros(long requestedMicros, long durationMicros) {
        return requestedMicros + (long) (durationMicros * (1 - MAX_CLOCK_DRIFT_RATIO));
    }

    /** Whether the pooler may act now. */
    public boolean isValid(long nowMicros) {
        return nowMicros < untilMicros;
    }

    /** When the lease ends or has ended. */
    public long untilMicros() {
        return untilMicros;
    }
}
