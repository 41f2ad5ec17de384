package lupinvalve.routing;

/** The watch on the endpoint list: requested at the start, and again after each failure, with backoff and jitter. */
final class EndpointWatch {
    /** Backoff before the watch is requested again after the first failure; it doubles with each further one. */
    private static final long FIRST_BACKOFF_MICROS = 250_000;
    /**
     * The longest backoff. A change of the list must take effect within some seconds after discovery has it and is
     * reachable, whatever calls failed before. So two of these backoffs plus two calls that hang must take no longer
     * than that.
     */
    private static final long MAX_BACKOFF_MICROS = 750_000;

    private static final int MAX_DOUBLINGS = 2;
    /** The backoff is at most the longest poll interval, {@code pollWithinMicros}, divided by this. */
    private static final long BACKOFFS_PER_POLL_INTERVAL = 4;
    /** Shortest time after which an unanswered watch request is repeated. */
    private static final long MIN_ANSWER_WAIT_MICROS = 1_000_000;

    private final RouterContext context;
    private boolean answered;
    private int failures;
    private long nextRequestMicros;

    EndpointWatch(RouterContext context) {
        this.context = context;
        if (context.settings().mustSubscribe()) {
            subscribe();
        }
    }

    /**
     * Requests the watch; unless answered, it is requested again after half the longest poll interval, at least 1 s.
     */
    private void subscribe() {
        context.perform(new RouterAction.WatchEndpoints(true));
        nextRequestMicros = context.nowMicros()
                + Math.max(MIN_ANSWER_WAIT_MICROS, context.settings().rules().pollWithinMicros() / 2);
    }

    /** Records that an update of this form arrived; a list restored from a file is no answer of discovery. */
    void received(ListForm form) {
        if (form == ListForm.UNAVAILABLE) {
            scheduleRetry();
        } else if (form != ListForm.RESTORED) {
            answered = true;
            failures = 0;
        }
    }

    /**
     * Schedules the next request, in microseconds: the backoff doubles with each failure up to its maximum, and the
     * pause is half of it plus a random part of the other half, so that routers don't all call at the same moment.
     */
    private void scheduleRetry() {
        answered = false;
        long pollWithinMicros = context.settings().rules().pollWithinMicros();
        long maxBackoffMicros = Math.min(MAX_BACKOFF_MICROS, pollWithinMicros / BACKOFFS_PER_POLL_INTERVAL + 1);
        long backoffMicros = Math.min(FIRST_BACKOFF_MICROS << Math.min(failures++, MAX_DOUBLINGS), maxBackoffMicros);
        nextRequestMicros =
                context.nowMicros() + backoffMicros / 2 + context.random().nextLong(backoffMicros / 2 + 1);
    }

    /** Requests the watch again if it has had no answer and the retry is due. */
    void tick() {
        if (context.settings().mustSubscribe() && !answered && context.nowMicros() >= nextRequestMicros) {
            subscribe();
        }
    }
}
