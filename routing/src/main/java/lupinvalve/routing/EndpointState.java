package lupinvalve.routing;

/** What the endpoint list says of one endpoint. */
public enum EndpointState {
    /** In service. */
    LIVE,
    /** Shuts down gracefully: takes nothing new. */
    DRAINING,
    /** Has departed. */
    DEPARTED
}
