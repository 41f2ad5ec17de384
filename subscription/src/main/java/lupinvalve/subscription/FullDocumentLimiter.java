package lupinvalve.subscription;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the full documents that a member sends at once, by the bytes that subscribers have not confirmed yet; one
 * document is always admitted. Rejected subscribers are told a Retry-After that grows with their number. One thread
 * uses it.
 */
public final class FullDocumentLimiter {
    /** Unconfirmed bytes at most. */
    static final long IN_FLIGHT_MAX_BYTES = 8 << 20;
    /** After this an unconfirmed document counts no longer. */
    static final long CONFIRM_TIMEOUT_MICROS = 2_000_000;
    /** Added to Retry-After for each rejection within the window. */
    static final int RETRY_STEP_MILLIS = 5;
    /** Retry-After without rejections in the window. */
    static final int RETRY_MIN_MILLIS = 50;
    /** Retry-After at most. */
    static final int RETRY_MAX_MILLIS = 1_000;
    /** Rejections are counted anew after this. */
    private static final long REJECTION_WINDOW_MICROS = 1_000_000;

    private record InFlight(int sizeBytes, long sentMicros) {}

    private final Map<String, InFlight> inFlightBySubscriber = new HashMap<>();
    private long inFlightBytes;
    private long windowStartMicros;
    private int rejectedCount;

    /** Whether a document may be sent to a subscriber now; if so it counts as in flight. */
    public boolean admit(String subscriber, int sizeBytes, long nowMicros) {
        confirm(subscriber);
        if (inFlightBytes + sizeBytes > IN_FLIGHT_MAX_BYTES) {
            dropTimedOut(nowMicros);
        }
        if (!inFlightBySubscriber.isEmpty() && inFlightBytes + sizeBytes > IN_FLIGHT_MAX_BYTES) {
            return false;
        }
        inFlightBySubscriber.put(subscriber, new InFlight(sizeBytes, nowMicros));
        inFlightBytes += sizeBytes;
        return true;
    }

    private void dropTimedOut(long nowMicros) {
        inFlightBySubscriber.values().removeIf(sent -> {
            boolean timedOut = nowMicros - sent.sentMicros() >= CONFIRM_TIMEOUT_MICROS;
            inFlightBytes -= timedOut ? sent.sizeBytes() : 0;
            return timedOut;
        });
    }

    /** A subscriber has sent its next request: what was sent to it has arrived, or never will. */
    public void confirm(String subscriber) {
        InFlight sent = inFlightBySubscriber.remove(subscriber);
        inFlightBytes -= sent == null ? 0 : sent.sizeBytes();
    }

    /** Retry-After for a subscriber that was just rejected. */
    public int retryAfterMillis(long nowMicros) {
        if (nowMicros - windowStartMicros >= REJECTION_WINDOW_MICROS) {
            windowStartMicros = nowMicros;
            rejectedCount = 0;
        }
        rejectedCount++;
        return Math.min(RETRY_MAX_MILLIS, RETRY_MIN_MILLIS + RETRY_STEP_MILLIS * rejectedCount);
    }
}
