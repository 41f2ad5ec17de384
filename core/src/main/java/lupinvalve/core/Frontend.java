package lupinvalve.core;

import lupinvalve.routing.ServerRole;

/**
 * Takes the one final answer of each request. Called by the core thread. A ticket is the number under which the
 * frontend submitted the request.
 */
public interface Frontend {
    /**
     * Final answer: served, as a db node gave it.
     *
     * @param position the answer's log position, or {@code LogPosition.UNKNOWN}
     */
    void served(long ticket, Object answer, long position, ServerRole role);

    /** Whether the client has disconnected, as far as sockets tell: the core may not have been notified yet. */
    boolean isClientDisconnected(long ticket);

    /**
     * A streamed answer starts; {@link #answerChunk} brings the rest, {@link #served} or {@link #answerAborted} its
     * end.
     *
     * @param first what has come so far, in the protocol's own form
     */
    default void answerStarted(long ticket, Object first, Backend.StreamSource source) {
        throw new IllegalStateException("this frontend takes complete answers only");
    }

    /** A further chunk of a streamed answer. */
    default void answerChunk(long ticket, byte[] chunk) {
        throw new IllegalStateException("this frontend takes complete answers only");
    }

    /** Final answer: a streamed answer breaks off; its client must be able to tell. */
    default void answerAborted(long ticket) {
        throw new IllegalStateException("this frontend takes complete answers only");
    }

    /**
     * Final answer: rejected; a retry does no harm.
     *
     * @param retryAfterMicros after which the client should come back; 0 for no advice
     */
    void rejected(long ticket, long retryAfterMicros);

    /** Final answer: failed; nothing is promised of the effect. */
    void failed(long ticket);
}
