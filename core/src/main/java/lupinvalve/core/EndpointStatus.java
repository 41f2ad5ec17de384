package lupinvalve.core;

/**
 * A listed db node with its observed state.
 *
 * @param discovered its entry in the endpoint list, with the observed role in place of the listed one
 * @param position the log position that it is known to have reached, or {@code LogPosition.UNKNOWN}
 */
public record EndpointStatus(DiscoveredEndpoint discovered, long position) {}
