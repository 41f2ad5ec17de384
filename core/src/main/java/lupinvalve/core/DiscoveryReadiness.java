package lupinvalve.core;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Lets startup wait until the first endpoint list arrives or discovery is found to reject calls immediately, in which
 * case it cannot have notified any pooler of a change. A call that fails after a delay does not count as rejected: an
 * overloaded discovery fails some calls and answers others. The core thread reports, any thread may wait.
 */
public final class DiscoveryReadiness {
    /** Result of the wait. */
    public enum Outcome {
        /** An endpoint list or a watch event has arrived. */
        LIST_RECEIVED,
        /** Discovery rejects calls immediately. */
        REJECTED,
        /** Neither has happened within the timeout. */
        NO_RESPONSE
    }

    /** Rejected calls that prove discovery to be down; a single call may fail immediately while it is up. */
    private static final int REJECTED_CALLS_COUNT = 2;
    /** A call that fails sooner was rejected without being queued by discovery. */
    private static final long IMMEDIATE_FAILURE_MICROS = 100_000;

    private final CountDownLatch decided = new CountDownLatch(1);
    private volatile Outcome outcome = Outcome.NO_RESPONSE;
    private int rejectedCalls;

    /** Reports that an endpoint list or a watch event has arrived; core thread only. */
    void listReceived() {
        decide(Outcome.LIST_RECEIVED);
    }

    /** Reports that a call has failed {@code elapsedMicros} after it was started; core thread only. */
    public void callFailed(long elapsedMicros) {
        rejectedCalls += elapsedMicros < IMMEDIATE_FAILURE_MICROS ? 1 : 0;
        if (rejectedCalls >= REJECTED_CALLS_COUNT) {
            decide(Outcome.REJECTED);
        }
    }

    private void decide(Outcome decision) {
        if (decided.getCount() > 0) {
            outcome = decision;
            decided.countDown();
        }
    }

    /** Waits for the outcome, for at most {@code timeoutMillis}; any thread. */
    public Outcome await(long timeoutMillis) throws InterruptedException {
        return decided.await(Math.max(0, timeoutMillis), TimeUnit.MILLISECONDS) ? outcome : Outcome.NO_RESPONSE;
    }
}
