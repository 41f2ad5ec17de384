package lupinvalve.core;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import lupinvalve.maintenance.Metrics;
import lupinvalve.maintenance.SentIds;
import lupinvalve.routing.RequestClass;

/**
 * The open requests, by handle, router id and client id. Opens and closes each request once, and records it in the
 * metrics and the log. Core thread only.
 */
final class RequestTable {
    private final EventLoop loop;
    private final Metrics metrics;
    private final RequestLog log;
    private final HandleTable<OpenRequest> byHandle;
    private final Map<String, OpenRequest> byRouterId = new HashMap<>();
    private final Set<String> clientIds = new HashSet<>();
    private SentIds sentIds = new SentIds();

    RequestTable(EventLoop loop, Metrics metrics, RequestLog log, int capacity) {
        this.loop = loop;
        this.metrics = metrics;
        this.log = log;
        byHandle = new HandleTable<>(capacity);
    }

    boolean isFull() {
        return byHandle.isFull();
    }

    int size() {
        return byHandle.size();
    }

    /** Whether a request to which its client gave this id is open. */
    boolean hasClientId(String id) {
        return clientIds.contains(id);
    }

    /** The open request with this handle, or null. */
    OpenRequest get(long handle) {
        return byHandle.get(handle);
    }

    /** Visits the requests that are open at the call; the visitor may close them. */
    void forEach(Consumer<OpenRequest> visitor) {
        byHandle.forEach(visitor);
    }

    /** The open request that the router identifies by an id, or null. */
    OpenRequest byRouterId(String id) {
        return byRouterId.get(id);
    }

    /** Sets the ids of requests that have been sent, which another process may share. */
    void sentIds(SentIds ids) {
        sentIds = ids;
    }

    /** Claims a request's id before its first attempt; false if a request of that id may have been sent before. */
    boolean claimId(OpenRequest open) {
        open.isIdClaimed = sentIds.claim(open.request.id(), monotonicMillis());
        return open.isIdClaimed;
    }

    /** A clock that all processes of a machine share. */
    private static long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Adds a request; the table must not be full. */
    OpenRequest open(
            Frontend frontend, long ticket, ClientRequest request, RequestClass requestClass, long deadlineMicros) {
        OpenRequest open = new OpenRequest(frontend, ticket, request, requestClass, deadlineMicros);
        open.handle = byHandle.put(open);
        open.routerId = Long.toHexString(open.handle);
        byRouterId.put(open.routerId, open);
        clientIds.add(request.id());
        metrics.setInFlight(byHandle.size());
        return open;
    }

    /** Removes a request; the caller then passes the final answer, if there is one, to the frontend. */
    void close(OpenRequest open, RequestOutcome outcome) {
        log.requestEnded(open, outcome);
        open.closed = true;
        loop.cancel(open.watchdog);
        byHandle.remove(open.handle);
        byRouterId.remove(open.routerId);
        clientIds.remove(open.request.id());
        if (open.isIdClaimed && (outcome != RequestOutcome.DISCONNECTED || !open.wasWritten)) {
            sentIds.release(open.request.id(), monotonicMillis());
        }
        metrics.setInFlight(byHandle.size());
        if (outcome.result != null) {
            metrics.requestEnded(open.request.classIndex(), outcome.result);
        }
    }
}
