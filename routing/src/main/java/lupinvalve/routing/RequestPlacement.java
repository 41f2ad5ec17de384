package lupinvalve.routing;

/**
 * Finds a server for a request and starts an attempt there. Writes, long-running reads and other reads are each placed
 * by a type of their own.
 */
final class RequestPlacement {
    private final RetryPolicy retryPolicy;
    private final WritePlacement writes;
    private final LongReadPlacement longReads;
    private final ReplicaSelector reads;

    RequestPlacement(
            RetryPolicy retryPolicy, WritePlacement writes, LongReadPlacement longReads, ReplicaSelector reads) {
        this.retryPolicy = retryPolicy;
        this.writes = writes;
        this.longReads = longReads;
        this.reads = reads;
    }

    /** Places a request, unless its number of attempts is used up. */
    PlacementResult place(PendingRequest request) {
        if (!retryPolicy.hasAttemptsLeft(request)) {
            return PlacementResult.NO_SERVER;
        }
        if (request.isWrite()) {
            return writes.place(request);
        }
        return request.longRead ? longReads.place(request) : reads.place(request);
    }
}
