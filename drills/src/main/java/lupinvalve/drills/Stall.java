package lupinvalve.drills;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * How long this process got no processor at a time: a machine that is that busy makes the daemons late too. It excuses
 * nothing, and stands beside the counters.
 */
final class Stall {
    private static final long STEP = 5;
    private volatile long longest;

    /** Watches until something is over. */
    Stall(BooleanSupplier over) {
        Threads.start("stall", () -> {
            while (!over.getAsBoolean()) {
                long before = System.nanoTime();
                Thread.sleep(STEP);
                longest = Math.max(longest, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - before) - STEP);
            }
        });
    }

    /** The longest so far, in milliseconds. */
    long longestMillis() {
        return longest;
    }
}
