package lupinvalve.drills;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Measures the longest time for which this process got no processor: a machine that is that busy delays the daemons
 * too. The result excuses no violation; it is reported beside the counters.
 */
final class StallMonitor {
    private static final long SLEEP_MILLIS = 5;
    private volatile long longestMillis;

    /** Measures on a thread of its own until the condition holds. */
    StallMonitor(BooleanSupplier over) {
        Threads.start("stall", () -> {
            while (!over.getAsBoolean()) {
                long before = System.nanoTime();
                Thread.sleep(SLEEP_MILLIS);
                longestMillis = Math.max(
                        longestMillis, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - before) - SLEEP_MILLIS);
            }
        });
    }

    /** The longest time so far, in milliseconds. */
    long longestMillis() {
        return longestMillis;
    }
}
