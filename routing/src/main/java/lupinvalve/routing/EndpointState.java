package lupinvalve.routing;

/** The state of one endpoint in the endpoint list. */
public enum EndpointState {
    /** In service. */
    LIVE,
    /**
     * Shuts down gracefully and gets no new requests, except that a primary gets writes for a while, see
     * {@link ServerEligibility}.
     */
    DRAINING,
    /** Removed from service. */
    DEPARTED
}
