package lupinvalve.core;

/** Carries attempts and health checks to db nodes over one protocol. Called by the core thread. */
public interface Backend {
    /** The connection that a streamed answer comes from. */
    interface StreamSource {
        /** Stops or resumes reading from it; for the core thread, may be called with either any number of times. */
        void pauseReading(boolean paused);
    }

    /**
     * Starts an attempt; its end comes through {@link Pooler#attemptEnded}.
     *
     * @param attempt handle of the attempt
     * @param statement what the protocol's frontend made of the request
     * @param timeoutMicros how long the pooler will wait
     * @param startWithinMicros for how long the db node may start it, which it is notified of
     */
    void send(long attempt, String node, String address, Object statement, long timeoutMicros, long startWithinMicros);

    /** Stops waiting for an attempt and closes its connection; true where its request may have been sent. */
    boolean abandon(long attempt);

    /** Whether the attempt waits for its connection: nothing of it has been handed to a socket. */
    boolean isAwaitingConnection(long attempt);

    /** Requests a db node's load report; the end comes through {@link Pooler#healthCheckEnded}. */
    void checkHealth(String node, String address);

    /** Closes idle connections to a db node. */
    void closeIdleConnections(String node);
}
