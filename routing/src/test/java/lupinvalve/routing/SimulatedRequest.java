package lupinvalve.routing;

/** A client's request in the simulation, with what the rule checks need to know of it. */
final class SimulatedRequest {
    final int router;
    final int classIndex;
    final int group;
    final String id;
    final RequestClass requestClass;
    /** When the client stops waiting, in microseconds. */
    final long expires;
    /** The log position that a read must see; not used where its class bounds the age of data instead. */
    final long requiredPosition;

    int attempts;
    /** When the earliest attempt was sent that may have run, in microseconds; the greatest value if none may. */
    long mayHaveRunSince = Long.MAX_VALUE;

    SimulatedAttempt inFlight;
    boolean closed;

    SimulatedRequest(
            int router,
            int classIndex,
            int group,
            String id,
            RequestClass requestClass,
            long expires,
            long requiredPosition) {
        this.router = router;
        this.classIndex = classIndex;
        this.group = group;
        this.id = id;
        this.requestClass = requestClass;
        this.expires = expires;
        this.requiredPosition = requiredPosition;
    }

    /** Returns the log position that a read must see if it is sent at the given time. */
    long requiredPosition(long sentAt) {
        return requestClass.access() == RequestClass.Access.BOUNDED
                ? sentAt - requestClass.maxStalenessMicros()
                : requiredPosition;
    }
}
