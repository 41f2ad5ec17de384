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
    public static final long LENGTH = 2_000_000, RENEW = 300_000;
    /** The part by which two clocks may drift apart. */
    public static final double DRIFT = 0.005;

    private volatile long until;

    /** Not held until it is granted. */
    public Lease(long nowMicros) {
        until = nowMicros;
    }

    /** A request that was about to be sent at a time has been granted, for so long. */
    public void granted(long askedMicros, long lengthMicros) {
        until = Math.max(until, end(askedMicros, lengthMicros));
    }

    /** When a lease ends that was asked for at a time and granted for so long. */
    public static long end(long askedMicros, long lengthMicros) {
        return askedMicros + (long) (lengthMicros * (1 - DRIFT));
    }

    public boolean holds(long nowMicros) {
        return nowMicros < until;
    }

    /** When it ends, or has ended. */
    public long until() {
        return until;
    }
}
