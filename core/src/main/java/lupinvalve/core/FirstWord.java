package lupinvalve.core;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * What a start waits for: discovery's first word to this process, or that discovery turns its calls down at once, in
 * which case there is nothing that it could have been told. A call that fails after it has waited is no such sign: an
 * overloaded discovery fails some and answers others. The core thread says what comes; another waits.
 */
public final class FirstWord {
    /** How it went. */
    public enum Outcome {
        TOLD,
        TURNED_DOWN,
        SILENT
    }

    /** One call may fail at once where discovery is up; a second one means that it takes none. */
    private static final int TURNED_DOWN_CALLS = 2;
    /** A call that fails within so many microseconds has not waited for its turn. */
    private static final long AT_ONCE = 100_000;

    private final CountDownLatch over = new CountDownLatch(1);
    private volatile Outcome outcome = Outcome.SILENT;
    private int turnedDown;

    /** Discovery has told something; core thread only. */
    void told() {
        end(Outcome.TOLD);
    }

    /** A call has failed so many microseconds after it began; core thread only. */
    public void callFailed(long afterMicros) {
        turnedDown += afterMicros < AT_ONCE ? 1 : 0;
        if (turnedDown >= TURNED_DOWN_CALLS) {
            end(Outcome.TURNED_DOWN);
        }
    }

    private void end(Outcome how) {
        if (over.getCount() > 0) {
            outcome = how;
            over.countDown();
        }
    }

    /** Waits for it, so long at most. */
    public Outcome await(long millis) throws InterruptedException {
        return over.await(Math.max(0, millis), TimeUnit.MILLISECONDS) ? outcome : Outcome.SILENT;
    }
}
