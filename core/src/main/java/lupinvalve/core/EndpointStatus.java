package lupinvalve.core;

/**
 * A listed db node with what it has shown of itself.
 *
 * @param discovered its entry of the endpoint list, with the role that it has shown in place of the listed one
 * @param position the log position that it has proven, or {@code LogPosition.UNKNOWN}
 */
public record EndpointStatus(DiscoveredEndpoint discovered, long position) {}
