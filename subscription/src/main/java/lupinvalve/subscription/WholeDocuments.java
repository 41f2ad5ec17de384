package lupinvalve.subscription;

import java.util.HashMap;
import java.util.Map;

/**
 * How many whole documents a member sends at once: so many bytes that nobody has confirmed yet, and at least one
 * document. Who has to wait is told when to come back, the later the more wait.
 */
public final class WholeDocuments {
    /** Bytes under way at most, and how long an unconfirmed one counts. */
    static final long BYTES_MOST = 8 << 20, COUNTS = 2_000_000;
    /** What those that come back are spread over: one a step, up to the most. */
    static final int STEP_MILLIS = 5, SOON_MILLIS = 50, LATE_MILLIS = 1_000;

    private static final long TURN = 1_000_000;

    private record Sent(int bytes, long atMicros) {}

    private final Map<String, Sent> under = new HashMap<>();
    private long bytes, turnSince;
    private int turnedAway;

    /** Whether a document may go out to a subscriber now; it counts as under way then. */
    public boolean admit(String subscriber, int size, long nowMicros) {
        arrived(subscriber);
        if (bytes + size > BYTES_MOST) {
            under.entrySet().removeIf(one -> {
                boolean old = nowMicros - one.getValue().atMicros() >= COUNTS;
                bytes -= old ? one.getValue().bytes() : 0;
                return old;
            });
        }
        if (!under.isEmpty() && bytes + size > BYTES_MOST) {
            return false;
        }
        under.put(subscriber, new Sent(size, nowMicros));
        bytes += size;
        return true;
    }

    /** A subscriber has asked again: what was sent to it has come, or never will. */
    public void arrived(String subscriber) {
        Sent sent = under.remove(subscriber);
        bytes -= sent == null ? 0 : sent.bytes();
    }

    /** When one that was turned away is to come back. */
    public int comeBackMillis(long nowMicros) {
        if (nowMicros - turnSince >= TURN) {
            turnSince = nowMicros;
            turnedAway = 0;
        }
        turnedAway++;
        return Math.min(LATE_MILLIS, SOON_MILLIS + STEP_MILLIS * turnedAway);
    }
}
