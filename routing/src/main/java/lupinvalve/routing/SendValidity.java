package lupinvalve.routing;

/**
 * Whether and until when a started attempt may be sent. It may have waited for a connection, for the preparation of its
 * statement or for its socket since the decision: the replica may be too far behind by then, or the write no longer
 * safe to retry.
 */
public final class SendValidity {
    private final RouterContext context;
    private final RequestLifecycle lifecycle;
    private final RetryPolicy retryPolicy;
    private final ReplicationLag lag;

    SendValidity(RouterContext context, RequestLifecycle lifecycle, RetryPolicy retryPolicy, ReplicationLag lag) {
        this.context = context;
        this.lifecycle = lifecycle;
        this.retryPolicy = retryPolicy;
        this.lag = lag;
    }

    /** Whether a request's attempt may still be sent. */
    public boolean mayStillBeSent(String id, long nowMicros) {
        context.advanceTo(nowMicros);
        PendingRequest request = lifecycle.find(id);
        if (request == null || request.inFlight() == null) {
            return false;
        }
        Server server = request.inFlight().server();
        int earlierAttempts = request.history.attempts() - 1;
        return retryPolicy.mayRunAt(server, request)
                && (request.isWrite()
                        || server == request.group.primary()
                        || lag.isFresh(server, request.requiredPosition(nowMicros), earlierAttempts));
    }

    /**
     * The latest time at which a request's attempt may be sent completely, if it may be sent now;
     * {@link Long#MAX_VALUE} for no limit.
     */
    public long latestSendMicros(String id) {
        PendingRequest request = lifecycle.find(id);
        return request == null || request.inFlight() == null
                ? Long.MAX_VALUE
                : Math.min(lag.freshUntilMicros(request), retryPolicy.mayRunUntilMicros(request));
    }
}
