package lupinvalve.drills;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** Waits for what other processes bring about, within bounds. */
final class Await {
    private static final long LOOK_EVERY = 20;

    /** What is waited for. */
    interface Holds {
        /** Whether it holds now. */
        boolean now() throws IOException;
    }

    private Await() {}

    /** Waits until something holds; what does not in time is an IOException. */
    static void until(String what, int withinSeconds, Holds holds) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(withinSeconds);
        while (!holds.now()) {
            if (System.nanoTime() > end) {
                throw new IOException("not in " + withinSeconds + " s: " + what);
            }
            Thread.sleep(LOOK_EVERY);
        }
    }
}
