package lupinvalve.audit;

/**
 * A pooler's right to act on what it knows, until its end. It counts from before the request for it was sent, so that
 * whoever granted it may count from later; and it ends early by the drift that two clocks may have. Times are of one
 * monotonic clock, in microseconds. Read from any thread, renewed by one.
 */
public final class Lease {
    /**
     * How long one lasts, and how often it is renewed. Longer than a leader's end takes to be made up for (1.2 s at
     * most).
     */
    public static final long DURATION_MICROS = 2_000_000, RENEW_INTERVAL_MICROS = 300_000;
    /** The part by which two clocks may drift apart. */
    public static final double MAX_CLOCK_DRIFT_RATIO = 0.005;

    private volatile long untilMicros;

    /** Not held until it is granted. */
    public Lease(long nowMicros) {
        untilMicros = nowMicros;
    }

    /** A request that was about to be sent at a time has been granted, for so long. */
    public void onGranted(long askedMicros, long lengthMicros) {
        untilMicros = Math.max(untilMicros, endMicros(askedMicros, lengthMicros));
    }

    /** When a lease ends that was asked for at a time and granted for so long. */
    public static long endMicros(long askedMicros, long lengthMicros) {
        return askedMicros + (long) (lengthMicros * (1 - MAX_CLOCK_DRIFT_RATIO));
    }

    public boolean isValid(long nowMicros) {
        return nowMicros < untilMicros;
    }

    /** When it ends, or has ended. */
    public long untilMicros() {
        return untilMicros;
    }
}
