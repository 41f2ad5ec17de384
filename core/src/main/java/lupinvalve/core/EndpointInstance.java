package lupinvalve.core;

import java.util.Map;

/**
 * One process of a db node. A restart, another address, or a return to the endpoint list make another instance of the
 * same id; a connection belongs to the instance that it was opened to. Immutable.
 */
public final class EndpointInstance {
    private final Map<String, String> addresses;
    private final long startedAtMicros;

    EndpointInstance(DiscoveredEndpoint discovered) {
        addresses = discovered.addresses();
        startedAtMicros = discovered.endpoint().startedAtMicros();
    }

    /** Address to dial for a protocol, or null where it does not speak it. */
    String address(String protocol) {
        return addresses.get(protocol);
    }

    /** Whether an entry of the endpoint list names this process. */
    boolean matches(DiscoveredEndpoint discovered) {
        return addresses.equals(discovered.addresses())
                && startedAtMicros >= discovered.endpoint().startedAtMicros();
    }

    /** Whether a connection to this one leads to the other: a restart binds those that were opened before it. */
    boolean leadsTo(EndpointInstance other, long openedAtMicros) {
        return this == other
                || other != null && addresses.equals(other.addresses) && openedAtMicros >= other.startedAtMicros;
    }
}
