package lupinvalve.log;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Limits the rate of warnings that may come by the thousand: the first of each text is logged at once, those that
 * follow are counted and logged with their number, once a second at most. Safe for all threads; keeps a bounded number
 * of texts.
 */
public final class RepeatedWarnings {
    private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_TEXTS_COUNT = 64;

    private static final class Occurrences {
        private long suppressed;
        private long loggedAtNanos;
    }

    private final Map<String, Occurrences> byText = new HashMap<>();

    /** Logs one more occurrence, or counts it. */
    public synchronized void warn(String text) {
        long now = System.nanoTime();
        Occurrences occurrences = byText.get(text);
        if (occurrences == null) {
            if (byText.size() >= MAX_TEXTS_COUNT) {
                byText.clear();
            }
            occurrences = new Occurrences();
            byText.put(text, occurrences);
            occurrences.loggedAtNanos = now;
            Log.warn("%s", text);
            return;
        }
        occurrences.suppressed++;
        if (now - occurrences.loggedAtNanos >= PERIOD_NANOS) {
            Log.warn("%s, %d times more", text, occurrences.suppressed);
            occurrences.suppressed = 0;
            occurrences.loggedAtNanos = now;
        }
    }
}
