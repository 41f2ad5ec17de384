package lupinvalve.core;

/** Carries attempts and health checks to db nodes over one protocol. Called on the core thread. */
public interface Backend {
    /** The connection that a streamed answer is read from. */
    interface StreamSource {
        /** Pauses or resumes reading from the connection. Idempotent; core thread only. */
        void pauseReading(boolean paused);
    }

    /**
     * Starts an attempt; its end is reported to {@link Pooler#attemptEnded}.
     *
     * @param attempt handle of the attempt
     * @param node id of the db node
     * @param address address to connect to
     * @param statement the request in the protocol's own form, {@link ClientRequest#statement}
     * @param timeoutMicros how long the pooler waits for the answer
     * @param startWithinMicros within what time the db node may start the request; sent to it with the request
     */
    void send(long attempt, String node, String address, Object statement, long timeoutMicros, long startWithinMicros);

    /**
     * Stops waiting for an attempt and closes the connection that it was sent on.
     *
     * @return whether any of its request may have been sent
     */
    boolean abandon(long attempt);

    /** Whether the attempt is waiting for a connection, so that none of it has been handed to a socket. */
    boolean isAwaitingConnection(long attempt);

    /** Whether a part of the attempt's answer has arrived, so that its db node is still writing it. */
    default boolean isAnswerArriving(long attempt) {
        return false;
    }

    /** Requests a db node's load report; the result is reported to {@link Pooler#healthCheckEnded}. */
    void checkHealth(String node, String address);

    /** Closes idle connections to a db node. */
    void closeIdleConnections(String node);
}
