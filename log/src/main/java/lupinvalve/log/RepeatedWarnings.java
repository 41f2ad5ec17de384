package lupinvalve.log;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Limits the rate of warnings that may be repeated thousands of times. The first warning with a text is logged at once;
 * later ones are counted, and their number is logged at most once a second. Thread-safe; keeps a bounded number of
 * texts.
 */
public final class RepeatedWarnings {
    private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_TEXTS_COUNT = 64;

    private static final class Occurrences {
        private long suppressed;
        private long loggedAtNanos;
    }

    private final Map<String, Occurrences> byText = new HashMap<>();

    /** Logs a warning, or counts it for a later line. */
    public void warn(String text) {
        warn(text, text);
    }

    /**
     * Logs a warning, or counts it for a later line that has the details of the last one.
     *
     * @param kind what the warning is counted as; not chosen by a peer
     */
    public synchronized void warn(String kind, String text) {
        long now = System.nanoTime();
        Occurrences occurrences = byText.get(kind);
        if (occurrences == null) {
            if (byText.size() >= MAX_TEXTS_COUNT) {
                byText.clear();
            }
            occurrences = new Occurrences();
            byText.put(kind, occurrences);
            occurrences.loggedAtNanos = now;
            Log.warn("%s", text);
            return;
        }
        occurrences.suppressed++;
        if (now - occurrences.loggedAtNanos >= PERIOD_NANOS) {
            Log.warn("%s; repeated %d times since the last such line", text, occurrences.suppressed);
            occurrences.suppressed = 0;
            occurrences.loggedAtNanos = now;
        }
    }
}
