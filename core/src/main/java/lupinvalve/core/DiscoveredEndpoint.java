package lupinvalve.core;

import java.util.Map;
import lupinvalve.routing.Endpoint;

/**
 * A db node as discovery reports it.
 *
 * @param endpoint the part that the router uses
 * @param addresses the address to connect to, by protocol
 */
public record DiscoveredEndpoint(Endpoint endpoint, Map<String, String> addresses) {}
