package lupinvalve.core;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import lupinvalve.routing.AttemptOutcome;
import lupinvalve.routing.RouterAction;

/** The attempts in flight, and the backends that carry them: starts, times out and cancels them. Core thread only. */
final class AttemptTable {
    private final EventLoop loop;
    private final RequestLog log;
    private final BiConsumer<Attempt, AttemptOutcome> onAbandoned;
    private final Map<String, Backend> backends = new LinkedHashMap<>();
    private final HandleTable<Attempt> byHandle;

    /** @param onAbandoned ends an attempt that this pooler has given up; it is still in the table then */
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

    /** The attempt in flight of a handle, or null. */
    Attempt get(long handle) {
        return byHandle.get(handle);
    }

    /** Removes an attempt that has ended and gives it, or null where it had ended before. */
    Attempt remove(long handle) {
        Attempt attempt = byHandle.remove(handle);
        if (attempt != null) {
            loop.cancel(attempt.timeout);
            OpenRequest request = attempt.request;
            request.inFlight = request.inFlight == attempt ? null : request.inFlight;
        }
        return attempt;
    }

    /** Starts an attempt; the table must not be full. */
    void start(OpenRequest request, int number, RouterAction.StartAttempt start, String address, long nowMicros) {
        long leftMicros = request.deadlineMicros - nowMicros;
        long timeoutMicros = start.timeoutMicros() == 0 ? leftMicros : Math.min(start.timeoutMicros(), leftMicros);
        long startWithinMicros =
                start.startWithinMicros() == 0 ? timeoutMicros : Math.min(start.startWithinMicros(), timeoutMicros);
        Attempt attempt = new Attempt(request, number, start.node(), nowMicros);
        attempt.handle = byHandle.put(attempt);
        log.attemptStarted(attempt);
        request.inFlight = attempt;
        attempt.timeout = loop.after(timeoutMicros, () -> abandon(attempt, AttemptOutcome.TIMED_OUT));
        backend(attempt)
                .send(
                        attempt.handle,
                        attempt.node,
                        address,
                        request.request.statement(),
                        timeoutMicros,
                        startWithinMicros);
    }

    /** Gives up an attempt. What was never handed to a socket has not run, whatever ended the wait for it. */
    void abandon(Attempt attempt, AttemptOutcome outcome) {
        boolean maybeSent = backend(attempt).abandon(attempt.handle);
        onAbandoned.accept(attempt, maybeSent ? outcome : AttemptOutcome.NOT_SENT);
    }

    /** Gives up an attempt whose end nobody has to be notified of. */
    void discard(Attempt attempt) {
        byHandle.remove(attempt.handle);
        backend(attempt).abandon(attempt.handle);
    }

    /** Cancels an attempt that the router names by its request's id and its number. */
    void cancel(RouterAction.CancelAttempt cancel) {
        byHandle.forEach(attempt -> {
            if (attempt.number == cancel.attempt() && attempt.request.routerId.equals(cancel.id())) {
                abandon(attempt, AttemptOutcome.CANCELLED);
            }
        });
    }

    /** Cancels the attempt of a closed request where it still waits for its connection. */
    void cancelUnsent(OpenRequest request) {
        Attempt attempt = request.inFlight;
        if (attempt != null && backend(attempt).isAwaitingConnection(attempt.handle)) {
            abandon(attempt, AttemptOutcome.CANCELLED);
        }
    }

    /**
     * Starts a health check over the first protocol that the instance has an address for; gives whether there is one.
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
