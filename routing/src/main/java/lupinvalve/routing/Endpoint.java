package lupinvalve.routing;

/**
 * One server of a group as the endpoint list names it.
 *
 * @param node the server's id
 * @param startedAtMicros when its process started; 0 where that was long ago
 */
public record Endpoint(
        String node, int group, int zone, EndpointState state, boolean listedPrimary, long startedAtMicros) {}
