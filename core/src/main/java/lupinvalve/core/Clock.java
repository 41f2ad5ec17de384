package lupinvalve.core;

import java.time.Instant;

/**
 * Unix time in microseconds: anchored once to the system's clock and advanced by the monotonic one, so that it never
 * goes back. Positions of the replication log lie on the same clock.
 */
public final class Clock {
    private final long anchorNanos = System.nanoTime();
    private final long anchorMicros;

    public Clock() {
        Instant now = Instant.now();
        anchorMicros = now.getEpochSecond() * 1_000_000 + now.getNano() / 1000;
    }

    public long micros() {
        return anchorMicros + (System.nanoTime() - anchorNanos) / 1000;
    }
}
