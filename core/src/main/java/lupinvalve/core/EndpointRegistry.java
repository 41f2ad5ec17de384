package lupinvalve.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lupinvalve.log.Log;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import lupinvalve.routing.ListForm;
import lupinvalve.routing.Router;

/** The endpoint list as discovery reports it, and the usable instance of each of its db nodes. Core thread only. */
final class EndpointRegistry {
    /**
     * Ids that an event removes from the list.
     *
     * @param unlisted those that a complete list no longer contains
     * @param departed those that the event lists as departed
     */
    record Departures(Set<String> unlisted, List<String> departed) {}

    private final Map<String, DiscoveredEndpoint> listed = new HashMap<>();
    private final Map<String, EndpointInstance> instances = new HashMap<>();

    /** The list as discovery reports it. */
    Collection<DiscoveredEndpoint> listed() {
        return listed.values();
    }

    /** The list's entry for an id, or null. */
    DiscoveredEndpoint listed(String node) {
        return listed.get(node);
    }

    /** The usable instance of an id, or null. */
    EndpointInstance instance(String node) {
        return instances.get(node);
    }

    /** Ids of all usable instances. */
    Set<String> instanceIds() {
        return instances.keySet();
    }

    /** Applies an event to the list and logs it. Returns the ids that have left the list. */
    Departures update(EndpointListEvent event) {
        boolean wasEmpty = listed.isEmpty();
        Set<String> unlisted = Set.of();
        if (event.form() == ListForm.UNAVAILABLE) {
            Log.info("endpoint list: discovery unavailable, keeping the current list");
        } else if (event.form() != ListForm.UPDATE) {
            // Each deployment brings new ids, so ids that have left must not accumulate.
            unlisted = new HashSet<>(listed.keySet());
            for (DiscoveredEndpoint discovered : event.endpoints()) {
                unlisted.remove(discovered.endpoint().node());
            }
            listed.keySet().removeAll(unlisted);
            instances.keySet().removeAll(unlisted);
        }
        if (event.form() != ListForm.UNAVAILABLE) {
            String changes =
                    wasEmpty ? "list was empty before" : EndpointListDiff.describe(listed, event.endpoints(), unlisted);
            Log.info(
                    "endpoint list: %s event with %d db nodes: %s",
                    event.form(), event.endpoints().size(), changes);
        }
        return new Departures(unlisted, updateEntries(event));
    }

    private List<String> updateEntries(EndpointListEvent event) {
        List<String> departed = new ArrayList<>();
        for (DiscoveredEndpoint discovered : event.endpoints()) {
            String node = discovered.endpoint().node();
            if (discovered.endpoint().state() != EndpointState.DEPARTED) {
                listed.put(node, discovered);
            } else if (listed.remove(node) != null) {
                departed.add(node);
            }
        }
        return departed;
    }

    /**
     * Updates the usable instance of an id.
     *
     * @param effective the endpoint that the router is given for the entry
     * @return whether the usable instance of the id may have changed, so that idle connections to a previous one are to
     *     be closed
     */
    boolean updateInstance(DiscoveredEndpoint discovered, Endpoint effective) {
        String node = effective.node();
        EndpointInstance current = instances.get(node);
        if (effective.state() == EndpointState.DEPARTED) {
            instances.remove(node);
            return true;
        }
        if (current == null || !current.matches(discovered)) {
            instances.put(node, new EndpointInstance(discovered));
            return true;
        }
        return false;
    }

    /** Whether a connection that was opened to an instance of the id leads to the instance that is usable now. */
    boolean isCurrentInstance(String node, EndpointInstance opened, long openedAtMicros) {
        return opened != null && opened.leadsTo(instances.get(node), openedAtMicros);
    }

    /** The list, sorted by id, with the roles and log positions that the router has observed. */
    List<EndpointStatus> statuses(Router router) {
        List<EndpointStatus> statuses = new ArrayList<>();
        for (DiscoveredEndpoint discovered : listed.values()) {
            Endpoint endpoint = discovered.endpoint();
            Endpoint observed = new Endpoint(
                    endpoint.node(),
                    endpoint.group(),
                    endpoint.zone(),
                    endpoint.state(),
                    router.isPrimary(endpoint.node()),
                    endpoint.startedAtMicros());
            statuses.add(new EndpointStatus(
                    new DiscoveredEndpoint(observed, discovered.addresses()), router.position(endpoint.node())));
        }
        statuses.sort(
                Comparator.comparing(status -> status.discovered().endpoint().node()));
        return statuses;
    }
}
