package lupinvalve.core;

/** A source of the endpoint list. Reports to {@link Pooler#onEndpointListEvent}. Called on the core thread. */
public interface EndpointDiscovery {
    /** Starts or stops watching the list; changes and the failure of a watch are reported as events. */
    void subscribe(boolean active);

    /** Requests the complete list once. */
    void fetch();

    /**
     * Unix time in microseconds up to which the core knows every change that discovery has sent. A change sent later
     * may have been unknown when the current task of the core thread began.
     */
    default long knownUpToMicros() {
        return Long.MAX_VALUE;
    }
}
