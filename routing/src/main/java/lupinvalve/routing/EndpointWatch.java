package lupinvalve.routing;

/** The watch on the endpoint list: asked for at the start, and again after a failure, with backoff and jitter. */
final class EndpointWatch {
    /**
     * Backoff before discovery is asked again. A change binds some seconds after discovery had it and could be reached,
     * whatever calls have failed by then: the longest pause and a call that hangs must fit in twice.
     */
    private static final long FIRST_BACKOFF_MICROS = 250_000;

    private static final long MAX_BACKOFF_MICROS = 750_000;
    private static final int MAX_DOUBLINGS = 2;
    /** Backoff is at most so small a part of the time within which the list must be polled. */
    private static final long BACKOFFS_PER_POLL_TIME = 4;
    /** A watch has this time at least to answer. */
    private static final long MIN_ANSWER_MICROS = 1_000_000;

    private final RouterContext context;
    private boolean answered;
    private int failures;
    private long nextMicros;

    EndpointWatch(RouterContext context) {
        this.context = context;
        if (context.settings().mustSubscribe()) {
            subscribe();
        }
    }

    private void subscribe() {
        context.perform(new RouterAction.WatchEndpoints(true));
        nextMicros = context.nowMicros()
                + Math.max(MIN_ANSWER_MICROS, context.settings().rules().pollWithinMicros() / 2);
    }

    /** An update of this form came. What was restored from a file says nothing of discovery. */
    void received(ListForm form) {
        if (form == ListForm.UNAVAILABLE) {
            scheduleRetry();
        } else if (form != ListForm.RESTORED) {
            answered = true;
            failures = 0;
        }
    }

    private void scheduleRetry() {
        answered = false;
        long pollWithin = context.settings().rules().pollWithinMicros();
        long max = Math.min(MAX_BACKOFF_MICROS, pollWithin / BACKOFFS_PER_POLL_TIME + 1);
        long backoff = Math.min(FIRST_BACKOFF_MICROS << Math.min(failures++, MAX_DOUBLINGS), max);
        nextMicros = context.nowMicros() + backoff / 2 + context.random().nextLong(backoff / 2 + 1);
    }

    /** Asks again if that is due. */
    void tick() {
        if (context.settings().mustSubscribe() && !answered && context.nowMicros() >= nextMicros) {
            subscribe();
        }
    }
}
