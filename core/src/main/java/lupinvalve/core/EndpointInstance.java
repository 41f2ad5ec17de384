package lupinvalve.core;

import java.util.Map;

/**
 * One process of a db node. A restart, a change of address and a return to the endpoint list each create another
 * instance with the same id. A connection belongs to the instance that it was opened to. Immutable.
 */
public final class EndpointInstance {
    private final Map<String, String> addresses;
    private final long startedAtMicros;

    EndpointInstance(DiscoveredEndpoint discovered) {
        addresses = discovered.addresses();
        startedAtMicros = discovered.endpoint().startedAtMicros();
    }

    /** Address to connect to over a protocol, or null if the db node does not support it. */
    String address(String protocol) {
        return addresses.get(protocol);
    }

    /** Whether an entry of the endpoint list describes this process: same addresses, and no later start listed. */
    boolean matches(DiscoveredEndpoint discovered) {
        return addresses.equals(discovered.addresses())
                && startedAtMicros >= discovered.endpoint().startedAtMicros();
    }

    /**
     * Whether a connection that was opened to this instance leads to the other one. It does if the addresses are the
     * same and the other instance had started by then: a restart invalidates only connections opened before it.
     */
    boolean leadsTo(EndpointInstance other, long openedAtMicros) {
        return this == other
                || other != null && addresses.equals(other.addresses) && openedAtMicros >= other.startedAtMicros;
    }
}
