package lupinvalve.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * The requests that are open, and how each ends: answered, given up with a final answer, or because its client has
 * disconnected. A request with an attempt in flight stays known until that has ended.
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

    /** The open request of this id, or null. */
    PendingRequest find(String id) {
        return requests.get(id);
    }

    void open(PendingRequest request) {
        requests.put(request.id(), request);
    }

    /** Rejects a request that no group can take. */
    void rejectUnknownGroup(RouterEvent.RequestArrived arrival, RequestClass requestClass) {
        context.perform(new RouterAction.Reject(arrival.id(), retryAfter.micros(requestClass)));
    }

    /** Gives a request its final answer at once: a rejection with Retry-After wherever that does no harm. */
    void giveUp(PendingRequest request) {
        context.perform(
                retryPolicy.mayReject(request)
                        ? new RouterAction.Reject(request.id(), retryAfter.micros(request.requestClass))
                        : new RouterAction.Fail(request.id()));
        close(request);
    }

    /** The client has disconnected: calls off the attempt in flight, if the site allows that; starts nothing more. */
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

    /** An attempt has ended with the request closed. */
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
