package lupinvalve.routing;

/** A request without a final answer yet: its class, group and deadlines, and the state of its attempts. */
final class PendingRequest {
    /** The time reserved before the client's deadline, so that the final answer reaches the client in time. */
    static final long ANSWER_MARGIN_MICROS = 15_000;

    final RouterEvent.RequestArrived arrival;
    final RequestClass requestClass;
    final ServerGroup group;
    final long arrivedMicros;
    /** The client's deadline: when it stops waiting. */
    final long expiresMicros;
    /**
     * The log position that a server must have reached to answer the request, from its session token or its arrival
     * time; not used where the class bounds the age of data instead.
     */
    final long tokenPosition;
    /** The random number in [0, 1) that load shedding compares: the higher, the sooner the request is rejected. */
    final double sheddingDraw;
    /**
     * Whether it counts as a client's retry: the client marked it as one, or {@link ClientRetryDetector} found it to be
     * a late one.
     */
    final boolean clientRetry;
    /** Whether it is a long-running read, see {@link LongReadPlacement}. */
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

    /**
     * Returns the latest time at which a final answer may be given so that it reaches the client before its deadline.
     */
    long answerDueMicros() {
        return expiresMicros - ANSWER_MARGIN_MICROS;
    }

    /**
     * Returns the time from which an answer is worth little: arrival plus latency objective, if late answers of the
     * class lose their value. For a client's retry it is {@link Long#MAX_VALUE}, as the objective counts from the
     * client's first attempt and may have passed before the retry arrived.
     */
    long losesValueAtMicros() {
        return requestClass.losesValueWhenLate() && !clientRetry
                ? arrivedMicros + requestClass.latencyObjectiveMicros()
                : Long.MAX_VALUE;
    }

    /** Returns the log position that a server must have reached to answer the request now. */
    long requiredPosition(long nowMicros) {
        return requestClass.access() == RequestClass.Access.BOUNDED
                ? nowMicros - requestClass.maxStalenessMicros()
                : tokenPosition;
    }

    /** Returns the attempt in flight, or null. */
    Attempt inFlight() {
        return inFlight;
    }

    /** Only {@link AttemptDispatcher} calls this. */
    void setInFlight(Attempt attempt) {
        inFlight = attempt;
    }

    /**
     * Whether the request has its final answer or its client has disconnected; its last attempt may still be in flight.
     */
    boolean isClosed() {
        return closed;
    }

    /** Only {@link RequestLifecycle} calls this. */
    void close() {
        closed = true;
    }
}
