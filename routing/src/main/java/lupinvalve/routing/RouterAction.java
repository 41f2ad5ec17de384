package lupinvalve.routing;

/** What a router wants done. All times are in microseconds; all records are immutable. */
public sealed interface RouterAction {
    /**
     * Start an attempt; its number is the count of earlier ones for the request.
     *
     * @param timeoutMicros after which it is given up; 0 for when the client stops waiting
     * @param startWithinMicros how long it is worth beginning, which the server is notified of; 0 for the timeout
     */
    record StartAttempt(String id, String node, long timeoutMicros, long startWithinMicros) implements RouterAction {}

    /** Final answer: rejected, and a retry does no harm; come back after the given time (0: no Retry-After). */
    record Reject(String id, long retryAfterMicros) implements RouterAction {}

    /** Final answer: failed; nothing is promised of the effect. */
    record Fail(String id) implements RouterAction {}

    /** Call off an attempt. */
    record CancelAttempt(String id, int attempt) implements RouterAction {}

    /** Check a server's health and have its report. */
    record CheckHealth(String node) implements RouterAction {}

    /** Close idle connections to a server. */
    record CloseIdleConnections(String node) implements RouterAction {}

    /** Send text to another router, or to all with -1. */
    record SendPeerMessage(int to, String text) implements RouterAction {}

    /** Ask for changes of the endpoint list from now on, or stop them. */
    record WatchEndpoints(boolean active) implements RouterAction {}

    /** Ask for the complete endpoint list once. */
    record FetchEndpoints() implements RouterAction {}

    /** Ask for a {@link RouterEvent.TimerFired} event. */
    record SetTimer(long delayMicros, long handle) implements RouterAction {}

    /** A line for the operators' log. */
    record LogMessage(String text) implements RouterAction {}
}
