package lupinvalve.drills;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** Waits, with a time limit, for conditions that other processes bring about. */
final class Await {
    private static final long POLL_MILLIS = 20;

    /** A condition that is polled. */
    interface Condition {
        /** Whether the condition holds now. */
        boolean holds() throws IOException;
    }

    private Await() {}

    /** Waits until the condition holds; throws IOException where it does not within the limit. */
    static void until(String what, int withinSeconds, Condition condition) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(withinSeconds);
        while (!condition.holds()) {
            if (System.nanoTime() > end) {
                throw new IOException("timed out after " + withinSeconds + " s waiting until " + what);
            }
            Thread.sleep(POLL_MILLIS);
        }
    }
}
