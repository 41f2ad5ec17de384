package lupinvalve.core;

import lupinvalve.routing.ServerRole;

/**
 * Receives the one final answer to each request. Called on the core thread. A ticket is the number that the frontend
 * gave the request when it submitted it.
 */
public interface Frontend {
    /**
     * Final answer: a db node has served the request.
     *
     * @param answer the db node's answer in the protocol's own form; the rest of it if it was streamed
     * @param position the answer's log position, or {@code LogPosition.UNKNOWN}
     */
    void served(long ticket, Object answer, long position, ServerRole role);

    /** Whether the client has disconnected according to its socket; the core may not have processed that yet. */
    boolean isClientDisconnected(long ticket);

    /**
     * Whether the client may have disconnected without its socket showing it, as input of it waits unread; nothing of
     * it may begin then.
     */
    default boolean mayHaveLeft(long ticket) {
        return isClientDisconnected(ticket);
    }

    /** The client of a request, for the log; not chosen by the client. */
    default String clientLabel(long ticket) {
        return "a client";
    }

    /** Bytes of answers to the client of a request that have not been handed to its socket. */
    default long unreadBytes(long ticket) {
        return 0;
    }

    /**
     * A streamed answer starts. {@link #answerChunk} delivers further chunks, and {@link #served} or
     * {@link #answerAborted} ends it.
     *
     * @param first what has been received so far, in the protocol's own form
     * @param source the connection that the answer is read from
     */
    default void answerStarted(long ticket, Object first, Backend.StreamSource source) {
        throw new IllegalStateException("this frontend does not support streamed answers");
    }

    /** A further chunk of a streamed answer. */
    default void answerChunk(long ticket, byte[] chunk) {
        throw new IllegalStateException("this frontend does not support streamed answers");
    }

    /**
     * Whether a streamed answer cannot go on at present, whatever its db node sends: its client has not read what came
     * before.
     */
    default boolean isAnswerPaused(long ticket) {
        return false;
    }

    /** Final answer: a streamed answer ends incomplete. The frontend must make that visible to the client. */
    default void answerAborted(long ticket) {
        throw new IllegalStateException("this frontend does not support streamed answers");
    }

    /**
     * Final answer: the request was rejected; a retry is safe.
     *
     * @param retryAfterMicros how long the client should wait before it retries; 0 for no advice
     */
    void rejected(long ticket, long retryAfterMicros);

    /** Final answer: the request failed; it may or may not have taken effect. */
    void failed(long ticket);
}
