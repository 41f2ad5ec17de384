package lupinvalve.routing;

/** A request that has no final answer yet: what was asked, and how far it has come. */
final class PendingRequest {
    /** Kept back from a deadline so that the final answer is out in time. */
    static final long ANSWER_MARGIN_MICROS = 15_000;

    final RouterEvent.RequestArrived arrival;
    final RequestClass requestClass;
    final ServerGroup group;
    final long arrivedMicros;
    /** When the client stops waiting. */
    final long expiresMicros;
    /** Log position that a server must have reached to answer it, unless its class bounds the age of data. */
    final long tokenPosition;
    /** Uniform in [0, 1): the higher, the sooner load shedding rejects it. */
    final double sheddingDraw;
    /** Whether it is a client's retry, by its mark or by the time that it has left. */
    final boolean clientRetry;
    /** Whether its class is long-running reads. */
    final boolean longRead;

    final RetryPolicy.AttemptHistory history = new RetryPolicy.AttemptHistory();
    private Attempt inFlight;
    private boolean closed;

    PendingRequest(
            RouterEvent.RequestArrived arrival,
            RequestClass requestClass,
            ServerGroup group,
            long nowMicros,
            long tokenPosition,
            double sheddingDraw,
            boolean clientRetry,
            boolean longRead) {
        this.arrival = arrival;
        this.requestClass = requestClass;
        this.group = group;
        this.tokenPosition = tokenPosition;
        this.sheddingDraw = sheddingDraw;
        this.clientRetry = clientRetry;
        this.longRead = longRead;
        arrivedMicros = nowMicros;
        expiresMicros = nowMicros + arrival.timeLeftMicros();
    }

    String id() {
        return arrival.id();
    }

    int classIndex() {
        return arrival.classIndex();
    }

    boolean isWrite() {
        return requestClass.access() == RequestClass.Access.WRITE;
    }

    boolean isStrongRead() {
        return requestClass.access() == RequestClass.Access.STRONG;
    }

    /** The last moment at which a final answer is sure to reach the client in time. */
    long answerDueMicros() {
        return expiresMicros - ANSWER_MARGIN_MICROS;
    }

    /**
     * From when on an answer is worth little; never for a client's retry, whose objective may have passed before it
     * came.
     */
    long losesValueAtMicros() {
        return requestClass.losesValueWhenLate() && !clientRetry
                ? arrivedMicros + requestClass.latencyObjectiveMicros()
                : Long.MAX_VALUE;
    }

    /** The log position that a server must have reached to answer it now. */
    long requiredPosition(long nowMicros) {
        return requestClass.access() == RequestClass.Access.BOUNDED
                ? nowMicros - requestClass.maxStalenessMicros()
                : tokenPosition;
    }

    /** The attempt in flight, or null. */
    Attempt inFlight() {
        return inFlight;
    }

    /** Called by {@link AttemptDispatcher} alone. */
    void setInFlight(Attempt attempt) {
        inFlight = attempt;
    }

    /** Whether it has its final answer or its client has disconnected, while its attempt has not ended yet. */
    boolean isClosed() {
        return closed;
    }

    /** Called by {@link RequestLifecycle} alone. */
    void close() {
        closed = true;
    }
}
