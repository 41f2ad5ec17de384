package lupinvalve.subscription;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the full documents that a member sends concurrently, by the number of bytes that subscribers have not
 * confirmed yet; a document is always admitted if no other is in flight. Rejected subscribers get a Retry-After that
 * grows with the number of rejections. Confined to one thread.
 */
public final class FullDocumentLimiter {
    /** Maximum number of unconfirmed bytes. */
    static final long IN_FLIGHT_MAX_BYTES = 8 << 20;
    /** Time after which an unconfirmed document no longer counts as in flight. */
    static final long CONFIRM_TIMEOUT_MICROS = 2_000_000;
    /** Increment of Retry-After for each rejection within the window. */
    static final int RETRY_STEP_MILLIS = 5;
    /** Retry-After without rejections in the window. */
    static final int RETRY_MIN_MILLIS = 50;
    /** Maximum Retry-After. */
    static final int RETRY_MAX_MILLIS = 1_000;
    /** Length of the window in which rejections are counted. */
    private static final long REJECTION_WINDOW_MICROS = 1_000_000;

    private record InFlight(int sizeBytes, long sentMicros) {}

    private final Map<String, InFlight> inFlightBySubscriber = new HashMap<>();
    private long inFlightBytes;
    private long windowStartMicros;
    private int rejectedCount;

    /** Returns whether a document may be sent to a subscriber now; if so, it counts as in flight. */
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

    /** Handles a subscriber's next request: the document sent to it has arrived, or was lost. */
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
