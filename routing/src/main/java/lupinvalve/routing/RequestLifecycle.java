package lupinvalve.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * The open requests, and how each ends: served, given up with a final answer by the router, or closed because its
 * client has disconnected. A request with an attempt in flight stays in the table until that attempt has ended.
 */
final class RequestLifecycle {
    private final RouterContext context;
    private final QueuedRequests queued;
    private final RetryPolicy retryPolicy;
    private final RetryAfter retryAfter;
    private final Map<String, PendingRequest> requests = new HashMap<>();

    RequestLifecycle(RouterContext context, QueuedRequests queued, RetryPolicy retryPolicy, RetryAfter retryAfter) {
        this.context = context;
        this.queued = queued;
        this.retryPolicy = retryPolicy;
        this.retryAfter = retryAfter;
    }

    /** Returns the request with this id, or null; it may be closed with its last attempt still in flight. */
    PendingRequest find(String id) {
        return requests.get(id);
    }

    /** Adds a request that has arrived. */
    void open(PendingRequest request) {
        requests.put(request.id(), request);
    }

    /** Rejects a request for a group that the endpoint list does not name. */
    void rejectUnknownGroup(RouterEvent.RequestArrived arrival, RequestClass requestClass) {
        context.perform(new RouterAction.Reject(arrival.id(), retryAfter.micros(requestClass)));
    }

    /**
     * Gives a request its final answer: a rejection with Retry-After if a retry by the client can't make the request
     * take effect twice, otherwise a failure.
     */
    void giveUp(PendingRequest request) {
        context.perform(
                retryPolicy.mayReject(request)
                        ? new RouterAction.Reject(request.id(), retryAfter.micros(request.requestClass))
                        : new RouterAction.Fail(request.id()));
        close(request);
    }

    /**
     * Closes the request of a client that has disconnected, so that no further attempt starts; cancels its attempt in
     * flight if the deployment allows cancelling.
     */
    void clientDisconnected(String id) {
        PendingRequest request = requests.get(id);
        if (request == null || request.isClosed()) {
            return;
        }
        if (request.inFlight() != null && context.settings().limits().cancel()) {
            context.perform(
                    new RouterAction.CancelAttempt(id, request.inFlight().number()));
        }
        close(request);
    }

    /** Removes a closed request whose last attempt has ended. */
    void forget(PendingRequest request) {
        request.close();
        requests.remove(request.id());
    }

    private void close(PendingRequest request) {
        request.close();
        if (request.inFlight() == null) {
            queued.remove(request);
            requests.remove(request.id());
        }
    }
}
