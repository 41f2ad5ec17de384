package lupinvalve.log;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Warnings that may come by the thousand: the first of each text is told at once, those that follow are counted and
 * told with their number, once a second at most. Safe for all threads; holds a bounded number of texts.
 */
public final class RepeatedWarnings {
    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int TEXTS_MOST = 64;

    private static final class Count {
        private long untold;
        private long toldAt;
    }

    private final Map<String, Count> counts = new HashMap<>();

    /** Tells of one more occurrence, or counts it. */
    public synchronized void warn(String text) {
        long now = System.nanoTime();
        Count count = counts.get(text);
        if (count == null) {
            if (counts.size() >= TEXTS_MOST) {
                counts.clear();
            }
            count = new Count();
            counts.put(text, count);
            count.toldAt = now;
            Log.warn("%s", text);
            return;
        }
        count.untold++;
        if (now - count.toldAt >= PAUSE_NANOS) {
            Log.warn("%s, %d times more", text, count.untold);
            count.untold = 0;
            count.toldAt = now;
        }
    }
}
