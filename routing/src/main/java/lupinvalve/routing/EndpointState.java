package lupinvalve.routing;

/** The state of one endpoint in the endpoint list. */
public enum EndpointState {
    /** In service. */
    LIVE,
    /** Shuts down gracefully and accepts no new requests. */
    DRAINING,
    /** Removed from service. */
    DEPARTED
}
