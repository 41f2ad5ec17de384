package lupinvalve.routing;

/**
 * One server of a group, as given in the endpoint list.
 *
 * @param node the id of the server, also called db node; events and actions refer to the server by it
 * @param group number of the group that the server belongs to
 * @param zone number of the zone that the server is in
 * @param listedPrimary whether the list gives the server as its group's primary
 * @param startedAtMicros when the server's process started, in microseconds on the clock of the events; 0 where that
 *     was long ago
 */
public record Endpoint(
        String node, int group, int zone, EndpointState state, boolean listedPrimary, long startedAtMicros) {
    /** The same server in another state. */
    public Endpoint withState(EndpointState newState) {
        return new Endpoint(node, group, zone, newState, listedPrimary, startedAtMicros);
    }

    /** The same server with another start of its process. */
    public Endpoint withStart(long newStartedAtMicros) {
        return new Endpoint(node, group, zone, state, listedPrimary, newStartedAtMicros);
    }
}
