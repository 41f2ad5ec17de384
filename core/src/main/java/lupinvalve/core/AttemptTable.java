package lupinvalve.core;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import lupinvalve.routing.AttemptOutcome;
import lupinvalve.routing.RouterAction;

/** Starts, times out and cancels attempts; holds those in flight and the backends that carry them. Core thread only. */
final class AttemptTable {
    private final EventLoop loop;
    private final RequestLog log;
    private final BiConsumer<Attempt, AttemptOutcome> onAbandoned;
    private final Map<String, Backend> backends = new LinkedHashMap<>();
    private final HandleTable<Attempt> byHandle;

    /** @param onAbandoned receives an abandoned attempt, which is still in the table, and its outcome */
    AttemptTable(EventLoop loop, RequestLog log, int capacity, BiConsumer<Attempt, AttemptOutcome> onAbandoned) {
        this.loop = loop;
        this.log = log;
        this.onAbandoned = onAbandoned;
        byHandle = new HandleTable<>(capacity);
    }

    void addBackend(String protocol, Backend backend) {
        backends.put(protocol, backend);
    }

    boolean isFull() {
        return byHandle.isFull();
    }

    /** Attempts in flight. */
    int size() {
        return byHandle.size();
    }

    /** The attempt in flight with this handle, or null. */
    Attempt get(long handle) {
        return byHandle.get(handle);
    }

    /** Removes an ended attempt and cancels its timeout. Returns the attempt, or null if it had been removed before. */
    Attempt remove(long handle) {
        Attempt attempt = byHandle.remove(handle);
        if (attempt != null) {
            loop.cancel(attempt.timeout);
            OpenRequest request = attempt.request;
            request.attemptInFlight = request.attemptInFlight == attempt ? null : request.attemptInFlight;
        }
        return attempt;
    }

    /**
     * Starts an attempt; the table must not be full. Its timeout and the time within which the db node may start it are
     * limited by the request's remaining time.
     */
    void start(OpenRequest request, int number, RouterAction.StartAttempt start, String address, long nowMicros) {
        long remainingMicros = request.deadlineMicros - nowMicros;
        long timeoutMicros =
                start.timeoutMicros() == 0 ? remainingMicros : Math.min(start.timeoutMicros(), remainingMicros);
        long startWithinMicros =
                start.startWithinMicros() == 0 ? timeoutMicros : Math.min(start.startWithinMicros(), timeoutMicros);
        Attempt attempt = new Attempt(request, number, start.node(), nowMicros);
        attempt.handle = byHandle.put(attempt);
        log.attemptStarted(attempt);
        request.attemptInFlight = attempt;
        attempt.timeout = loop.after(timeoutMicros, () -> timeOut(attempt));
        backend(attempt)
                .send(
                        attempt.handle,
                        attempt.node,
                        address,
                        request.request.statement(),
                        timeoutMicros,
                        startWithinMicros);
    }

    /** Abandons an attempt, unless its answer is arriving: then it has until the request's deadline. */
    private void timeOut(Attempt attempt) {
        long remainingMicros = attempt.request.deadlineMicros - loop.now();
        if (remainingMicros > 0 && backend(attempt).isAnswerArriving(attempt.handle)) {
            attempt.timeout = loop.after(remainingMicros, () -> abandon(attempt, AttemptOutcome.TIMED_OUT));
        } else {
            abandon(attempt, AttemptOutcome.TIMED_OUT);
        }
    }

    /**
     * Abandons an attempt. Its outcome is {@code NOT_SENT}, whatever the reason, if none of it was handed to a socket:
     * the db node cannot have run it.
     */
    void abandon(Attempt attempt, AttemptOutcome outcome) {
        boolean maybeSent = backend(attempt).abandon(attempt.handle);
        onAbandoned.accept(attempt, maybeSent ? outcome : AttemptOutcome.NOT_SENT);
    }

    /**
     * Abandons an attempt whose answer is being forwarded. Reports no outcome: when the forwarding started, the router
     * was notified that the request was served.
     */
    void discard(Attempt attempt) {
        byHandle.remove(attempt.handle);
        backend(attempt).abandon(attempt.handle);
    }

    /** Cancels the attempt that the router identifies by the request's id and the attempt's number. */
    void cancel(RouterAction.CancelAttempt cancel) {
        byHandle.forEach(attempt -> {
            if (attempt.number == cancel.attempt() && attempt.request.routerId.equals(cancel.id())) {
                abandon(attempt, AttemptOutcome.CANCELLED);
            }
        });
    }

    /** Cancels the attempt of a closed request if it is still waiting for a connection. */
    void cancelUnsent(OpenRequest request) {
        Attempt attempt = request.attemptInFlight;
        if (attempt != null && backend(attempt).isAwaitingConnection(attempt.handle)) {
            abandon(attempt, AttemptOutcome.CANCELLED);
        }
    }

    /**
     * Starts a health check over the first protocol for which the instance has an address.
     *
     * @param instance the usable instance of the db node, or null
     * @return false if there is no such address, so that no check was started
     */
    boolean checkHealth(String node, EndpointInstance instance) {
        for (Map.Entry<String, Backend> backend : backends.entrySet()) {
            String address = instance == null ? null : instance.address(backend.getKey());
            if (address != null) {
                backend.getValue().checkHealth(node, address);
                return true;
            }
        }
        return false;
    }

    void closeIdleConnections(String node) {
        backends.values().forEach(backend -> backend.closeIdleConnections(node));
    }

    private Backend backend(Attempt attempt) {
        return backends.get(attempt.request.request.protocol());
    }
}
