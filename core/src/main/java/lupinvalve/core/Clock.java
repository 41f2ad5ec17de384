package lupinvalve.core;

import java.time.Instant;

/**
 * Unix time in microseconds. Read once from the system clock and then advanced by the monotonic clock, so that it never
 * goes back. Log positions are Unix time as well and are compared with it. Any thread.
 */
public final class Clock {
    private final long anchorNanos = System.nanoTime();
    private final long anchorMicros;

    /** Creates a clock that starts at the system clock's current time. */
    public Clock() {
        Instant now = Instant.now();
        anchorMicros = now.getEpochSecond() * 1_000_000 + now.getNano() / 1000;
    }

    /** Unix time in microseconds. */
    public long micros() {
        return anchorMicros + (System.nanoTime() - anchorNanos) / 1000;
    }
}
