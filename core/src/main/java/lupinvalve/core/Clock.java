package lupinvalve.core;

import java.time.Instant;

/**
 * Unix time in microseconds: anchored once to the system's clock and advanced by the monotonic one, so that it never
 * goes back. Log positions lie on the same clock. Any thread.
 */
public final class Clock {
    private final long anchorNanos = System.nanoTime();
    private final long anchorMicros;

    /** A clock that is anchored now. */
    public Clock() {
        Instant now = Instant.now();
        anchorMicros = now.getEpochSecond() * 1_000_000 + now.getNano() / 1000;
    }

    /** Unix time in microseconds. */
    public long micros() {
        return anchorMicros + (System.nanoTime() - anchorNanos) / 1000;
    }
}
