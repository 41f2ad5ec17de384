package lupinvalve.core;

import lupinvalve.log.Log;

/**
 * Logs where requests waited that were answered well after their deadline, at most one a second, so that a wait can be
 * told from another after the fact. Core thread only.
 */
final class LateRequestLog {
    /** An answer this long after the deadline is logged. */
    private static final long LATE_MICROS = 50_000;
    /** Interval between two lines. */
    private static final long PERIOD_MICROS = 1_000_000;

    private static final int MICROS_PER_MILLI = 1000;

    private long nextLineAtMicros = Long.MIN_VALUE;
    private int suppressed;

    /** Logs the waits of a request that ends now, if it is late. */
    void ended(OpenRequest open, RequestOutcome outcome, long nowMicros) {
        if (nowMicros - open.request.expiresAtMicros() < LATE_MICROS || outcome == RequestOutcome.DISCONNECTED) {
            return;
        }
        if (nowMicros < nextLineAtMicros) {
            suppressed++;
            return;
        }
        nextLineAtMicros = nowMicros + PERIOD_MICROS;
        Log.warn("%s", text(open, outcome, nowMicros));
        suppressed = 0;
    }

    private String text(OpenRequest open, RequestOutcome outcome, long nowMicros) {
        ClientRequest request = open.request;
        boolean wasAttempted = open.attemptCount > 0;
        long routedAtMicros = wasAttempted ? open.firstAttemptAtMicros : nowMicros;
        return "request " + request.id() + " of " + open.frontend.clientLabel(open.ticket) + " " + outcome.text + " "
                + millis(nowMicros - request.expiresAtMicros()) + " after its deadline: waited "
                + millis(open.submittedAtMicros - request.arrivedAtMicros()) + " for the event loop, "
                + millis(routedAtMicros - open.submittedAtMicros) + " in the router's queue, "
                + millis(open.connectionWaitMicros) + " for a connection in " + open.attemptCount + " attempts, "
                + millis(open.nodeMicros) + " for db nodes, " + millis(open.answerWaitMicros)
                + " as an answer for the event loop, " + millis(tokenWaitMicros(open, nowMicros))
                + " for a majority of poolers; " + open.frontend.unreadBytes(open.ticket)
                + " bytes of the client's answers unsent; " + suppressed + " such requests not logged";
    }

    private static long tokenWaitMicros(OpenRequest open, long nowMicros) {
        return open.tokenWait == null ? 0 : nowMicros - open.tokenWait.startedAtMicros;
    }

    private static String millis(long micros) {
        return micros / MICROS_PER_MILLI + " ms";
    }
}
