package lupinvalve.core;

/** A source of the endpoint list; reports through {@link Pooler#onEndpointListEvent}. Called by the core thread. */
public interface EndpointDiscovery {
    /** Starts or stops the watch of the list; each of its calls, or the failure of one, brings an event. */
    void subscribe(boolean active);

    /** Requests the complete list once. */
    void fetch();

    /**
     * Unix time in microseconds up to which each notified change is known to the core. A change notified later was not
     * known when the work in hand began.
     */
    default long knownUpToMicros() {
        return Long.MAX_VALUE;
    }
}
