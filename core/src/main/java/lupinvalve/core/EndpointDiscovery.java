package lupinvalve.core;

/** A source of the endpoint list. Reports to {@link Pooler#onEndpointListEvent}. Called on the core thread. */
public interface EndpointDiscovery {
    /**
     * Starts or stops watching the list. The first answer to a new watch, even if nothing has changed, each later
     * change and the failure of the watch are reported as events; the router requests the watch again until it is
     * answered.
     */
    void subscribe(boolean active);

    /** Requests the complete list once. */
    void fetch();

    /**
     * Unix time in microseconds up to which the core knows every change that discovery has sent. A change sent after
     * that time may not be known yet, as it may have arrived after the current task of the core thread began.
     */
    default long knownUpToMicros() {
        return Long.MAX_VALUE;
    }
}
