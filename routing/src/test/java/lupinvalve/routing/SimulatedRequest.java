package lupinvalve.routing;

/** A client's request, as the world sees it. */
final class SimulatedRequest {
    final int router;
    final int classIndex;
    final int group;
    final String id;
    final RequestClass requestClass;
    final long expires;
    /** The log position that a read must see, unless its class bounds the age of data. */
    final long requiredPosition;

    int attempts;
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

    /** The log position that a read which was sent at a time must see. */
    long requiredPosition(long sentAt) {
        return requestClass.access() == RequestClass.Access.BOUNDED
                ? sentAt - requestClass.maxStalenessMicros()
                : requiredPosition;
    }
}
