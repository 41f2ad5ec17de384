package lupinvalve.core;

import lupinvalve.routing.RequestClass;

/** State of a request from its arrival to its final answer. Core thread only. */
final class OpenRequest {
    final Frontend frontend;
    final long ticket;
    /** The client's request as the frontend parsed it, with its statement and its protocol. */
    final ClientRequest request;

    final RequestClass requestClass;
    /**
     * Until when it must be answered, in Unix microseconds: when its client stops waiting, or the shutdown deadline.
     */
    final long deadlineMicros;

    /** Its handle in {@link RequestTable}, which sets it. */
    long handle;

    /** The id by which the router identifies it; set by {@link RequestTable}. */
    String routerId;
    /** Whether it has been removed from {@link RequestTable}; its final answer, if it gets one, follows at once. */
    boolean closed;

    /** The wait of its answer until the session token is durable; null if it has none. Set by {@link TokenWaits}. */
    TokenWait tokenWait;
    /** When the first of the answers that must follow its own on the connection is due, in Unix microseconds. */
    long answerNeededByMicros = Long.MAX_VALUE;

    /** Log position that the answer must have reached, if this pooler remembers a token of the session; else 0. */
    long rememberedTokenMicros;

    /** When it was submitted to the pooler, in Unix microseconds. */
    long submittedAtMicros;
    /** How long its attempts waited until their requests were written, in sum. */
    long connectionWaitMicros;
    /** How long its attempts waited for db nodes after that, in sum. */
    long nodeMicros;
    /** How long the ends of its attempts waited for the event loop, in sum. */
    long answerWaitMicros;

    /** Whether its id is claimed in {@link RequestTable}'s ids. */
    boolean isIdClaimed;
    /** Whether any attempt was written to a db node's connection, so that it may run. */
    boolean wasWritten;

    /** Attempts that the router has started, whether or not they were sent. */
    int attemptCount;

    /** When its first attempt was started, in Unix microseconds. */
    long firstAttemptAtMicros;
    /** Set by {@link AttemptTable}; null if there is none. */
    Attempt attemptInFlight;

    /** The attempt whose answer is forwarded while it arrives, or null; set by {@link StreamedAnswers}. */
    Attempt streamingAttempt;

    /** Chunks of that answer forwarded so far, not counting its start. */
    long forwardedChunks;

    /**
     * Fails the request after its deadline, aborts a streamed answer that stalls, or ends the wait for the session
     * token; null until it is set.
     */
    TimerQueue.Timer watchdog;

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

    boolean mayHaveLeft() {
        return frontend.mayHaveLeft(ticket);
    }

    boolean isClientDisconnected() {
        return frontend.isClientDisconnected(ticket);
    }
}
