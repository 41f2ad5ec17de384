package lupinvalve.core;

import lupinvalve.routing.RequestClass;

/** The state of one request from its arrival to its final answer. Core thread only. */
final class OpenRequest {
    final Frontend frontend;
    final long ticket;
    final ClientRequest request;
    final RequestClass requestClass;
    /** Until when it must be answered: when its client stops waiting, or the program's shutdown deadline. */
    final long deadlineMicros;

    /** Set by {@link RequestTable}: its handle there, and the id that the router knows it by. */
    long handle;

    String routerId;
    /** Set by {@link RequestTable} once its final answer is due. */
    boolean closed;

    /** A db node has served it, and its answer waits until the session token is durable. */
    boolean awaitsToken;
    /** Log position that the answer must have reached, where this pooler remembers the session's token; else 0. */
    long rememberedTokenMicros;

    /** Set by {@link AttemptTable}. */
    int attempts;

    long firstSentAtMicros;
    /** The attempt in flight, or null. */
    Attempt inFlight;

    /** Set by {@link StreamedAnswers}: the attempt whose answer is passed on as it comes, or null; chunks so far. */
    Attempt streamed;

    long streamedChunks;

    /** Ends it past its deadline, or a streamed answer that stalls; null before it is set. */
    TimerQueue.Timer guard;

    OpenRequest(Frontend frontend, long ticket, ClientRequest request, RequestClass requestClass, long deadlineMicros) {
        this.frontend = frontend;
        this.ticket = ticket;
        this.request = request;
        this.requestClass = requestClass;
        this.deadlineMicros = deadlineMicros;
    }

    boolean isWrite() {
        return requestClass.access() == RequestClass.Access.WRITE;
    }

    boolean isClientDisconnected() {
        return frontend.isClientDisconnected(ticket);
    }
}
