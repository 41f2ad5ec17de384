package lupinvalve.core;

import java.util.Map;
import lupinvalve.routing.Endpoint;

/**
 * A db node as discovery lists it.
 *
 * @param endpoint what the router knows of it
 * @param addresses the address to dial, by protocol
 */
public record DiscoveredEndpoint(Endpoint endpoint, Map<String, String> addresses) {}
