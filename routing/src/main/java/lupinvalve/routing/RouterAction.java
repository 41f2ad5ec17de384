package lupinvalve.routing;

/** An action that a router requests of its caller. All times are in microseconds; all records are immutable. */
public sealed interface RouterAction {
    /**
     * Starts an attempt of a request; the attempt's number is the count of the request's earlier attempts.
     *
     * @param timeoutMicros time after which the attempt is abandoned; 0 for the time at which the client stops waiting
     * @param startWithinMicros time within which the server must begin the work, or else drop the attempt; the server
     *     receives this time with the request; 0 for the timeout
     */
    record StartAttempt(String id, String node, long timeoutMicros, long startWithinMicros) implements RouterAction {}

    /** Final answer: rejected. The client may safely retry, after the given time; 0 states no Retry-After. */
    record Reject(String id, long retryAfterMicros) implements RouterAction {}

    /** Final answer: failed. The request may or may not have taken effect. */
    record Fail(String id) implements RouterAction {}

    /** Cancels an attempt. */
    record CancelAttempt(String id, int attempt) implements RouterAction {}

    /** Starts a health check of a server, which also returns its role and log position. */
    record CheckHealth(String node) implements RouterAction {}

    /** Closes the idle connections to a server. */
    record CloseIdleConnections(String node) implements RouterAction {}

    /** Sends a text to the router of this number, or to all other routers if the number is -1. */
    record SendPeerMessage(int to, String text) implements RouterAction {}

    /** Starts or stops the watch on the endpoint list. */
    record WatchEndpoints(boolean active) implements RouterAction {}

    /** Fetches the complete endpoint list once. */
    record FetchEndpoints() implements RouterAction {}

    /** Sets a timer, which ends in a {@link RouterEvent.TimerFired} event with the same handle. */
    record SetTimer(long delayMicros, long handle) implements RouterAction {}

    /** Writes one line to the log. */
    record LogMessage(String text) implements RouterAction {}
}
