package lupinvalve.core;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Lets a start wait for the first endpoint list, or for the sign that discovery rejects its calls at once and so cannot
 * have notified anything. A call that fails after a wait is no such sign: an overloaded discovery fails some calls and
 * answers others. The core thread reports, any thread may wait.
 */
public final class DiscoveryReadiness {
    /** What a wait came to. */
    public enum Outcome {
        /** An endpoint list or a watch event has come. */
        LIST_RECEIVED,
        /** Discovery rejects its calls. */
        REJECTED,
        /** Neither within the time. */
        NO_RESPONSE
    }

    /** One call may fail at once where discovery is up. */
    private static final int REJECTED_CALLS_COUNT = 2;
    /** A call that fails sooner has not waited for its turn. */
    private static final long IMMEDIATE_FAILURE_MICROS = 100_000;

    private final CountDownLatch decided = new CountDownLatch(1);
    private volatile Outcome outcome = Outcome.NO_RESPONSE;
    private int rejectedCalls;

    /** An endpoint list has come; core thread only. */
    void listReceived() {
        decide(Outcome.LIST_RECEIVED);
    }

    /** A call has failed so many microseconds after it began; core thread only. */
    public void callFailed(long elapsedMicros) {
        rejectedCalls += elapsedMicros < IMMEDIATE_FAILURE_MICROS ? 1 : 0;
        if (rejectedCalls >= REJECTED_CALLS_COUNT) {
            decide(Outcome.REJECTED);
        }
    }

    private void decide(Outcome next) {
        if (decided.getCount() > 0) {
            outcome = next;
            decided.countDown();
        }
    }

    /** Waits for the outcome, so long at most; any thread. */
    public Outcome await(long timeoutMillis) throws InterruptedException {
        return decided.await(Math.max(0, timeoutMillis), TimeUnit.MILLISECONDS) ? outcome : Outcome.NO_RESPONSE;
    }
}
