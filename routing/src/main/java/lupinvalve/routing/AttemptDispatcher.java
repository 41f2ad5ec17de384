package lupinvalve.routing;

/**
 * Starts attempts, and removes them from the state of their request and server when they end. At most one attempt of a
 * request is in flight at a time.
 */
final class AttemptDispatcher {
    private final RouterContext context;
    private final AttemptTimeout timeouts;
    private final IdleTimeout idleTimeout;
    private final SlowStart slowStart;
    private final RetryPolicy retryPolicy;

    AttemptDispatcher(
            RouterContext context,
            AttemptTimeout timeouts,
            IdleTimeout idleTimeout,
            SlowStart slowStart,
            RetryPolicy retryPolicy) {
        this.context = context;
        this.timeouts = timeouts;
        this.idleTimeout = idleTimeout;
        this.slowStart = slowStart;
        this.retryPolicy = retryPolicy;
    }

    /** Starts an attempt of a request at a server for which {@link Admission} has admitted the request. */
    void start(PendingRequest request, Server server) {
        long nowMicros = context.nowMicros();
        double overdueAfterMicros = timeouts.overdueAfterMicros(server, request);
        boolean unsafe = request.requestClass.effect() == RequestClass.Effect.UNSAFE;
        long idleMicros = idleTimeout.closeExpiredAndGetIdleMicros(server, unsafe);
        long timeoutMicros = timeouts.timeoutMicros(request, overdueAfterMicros, idleMicros);
        long startWithinMicros = timeouts.startWithinMicros(request, timeoutMicros);
        int number = retryPolicy.attemptStarted(request);
        Attempt attempt =
                new Attempt(request, number, server, nowMicros, nowMicros + (long) overdueAfterMicros, idleMicros);
        request.setInFlight(attempt);
        server.inFlight.add(attempt);
        slowStart.attemptStarted(server);
        context.perform(new RouterAction.StartAttempt(request.id(), server.id, timeoutMicros, startWithinMicros));
    }

    /** Records that an attempt has ended. */
    void ended(Attempt attempt, AttemptOutcome outcome) {
        attempt.request().setInFlight(null);
        attempt.server().inFlight.remove(attempt);
        idleTimeout.attemptEnded(attempt.server());
        retryPolicy.attemptEnded(attempt, outcome);
    }
}
