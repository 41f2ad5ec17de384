package lupinvalve.routing;

/** Starts attempts and takes them off the books when they end. At most one attempt of a request is in flight. */
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

    /** Starts an attempt of a request at a server that has admitted it. */
    void start(PendingRequest request, Server server) {
        long now = context.nowMicros();
        double overdueAfter = timeouts.overdueAfterMicros(server, request);
        boolean unsafe = request.requestClass.effect() == RequestClass.Effect.UNSAFE;
        long idle = idleTimeout.beforeAttempt(server, unsafe);
        long timeout = timeouts.timeoutMicros(request, overdueAfter, idle);
        long startWithin = timeouts.startWithinMicros(request, timeout);
        int number = retryPolicy.attemptStarted(request);
        Attempt attempt = new Attempt(request, number, server, now, now + (long) overdueAfter, idle);
        request.setInFlight(attempt);
        server.inFlight.add(attempt);
        slowStart.attemptStarted(server);
        context.perform(new RouterAction.StartAttempt(request.id(), server.id, timeout, startWithin));
    }

    /** An attempt has ended. */
    void ended(Attempt attempt, AttemptOutcome outcome) {
        attempt.request().setInFlight(null);
        attempt.server().inFlight.remove(attempt);
        idleTimeout.attemptEnded(attempt.server());
        retryPolicy.attemptEnded(attempt, outcome);
    }
}
