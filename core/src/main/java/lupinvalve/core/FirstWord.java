package lupinvalve.core;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * What a start waits for: discovery's first word to this process, or that discovery turns its calls down, in which case there is
 * nothing that it could have been told. The core thread says what comes; another waits.
 */
public final class FirstWord {
    /** How it went. */
    public enum Outcome { TOLD, TURNED_DOWN, SILENT }

    /** One call may fail where discovery is up; a second one in turn means that it takes none. */
    private static final int CALLS_FAILED = 2;
    private final CountDownLatch over = new CountDownLatch(1);
    private volatile Outcome outcome = Outcome.SILENT;
    private int failed;

    /** Discovery has told something; core thread only. */
    void told() {
        end(Outcome.TOLD);
    }

    /** A call has failed, and none is open; core thread only. */
    void callFailed() {
        failed++;
        if (failed >= CALLS_FAILED) {
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
