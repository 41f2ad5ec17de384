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

/**
 * The endpoint list as discovery reports it, and the instance of each of its db nodes that may be used. Core thread
 * only.
 */
final class EndpointRegistry {
    /**
     * Ids that an event takes from the list.
     *
     * @param unlisted those that a complete list names no longer
     * @param departed those that it names as departed
     */
    record Departures(Set<String> unlisted, List<String> departed) {}

    private final Map<String, DiscoveredEndpoint> listed = new HashMap<>();
    private final Map<String, EndpointInstance> instances = new HashMap<>();

    /** The list as discovery reports it. */
    Collection<DiscoveredEndpoint> listed() {
        return listed.values();
    }

    /** The entry of an id, or null. */
    DiscoveredEndpoint listed(String node) {
        return listed.get(node);
    }

    /** The instance that may be used under an id, or null. */
    EndpointInstance instance(String node) {
        return instances.get(node);
    }

    /** Ids of all instances that may be used. */
    Set<String> instanceIds() {
        return instances.keySet();
    }

    /** Takes over an event into the list, with its line in the log; gives which ids have left the list. */
    Departures update(EndpointListEvent event) {
        boolean first = listed.isEmpty();
        Set<String> unlisted = Set.of();
        if (event.form() == ListForm.UNAVAILABLE) {
            Log.info("endpoint list: unavailable, keeping the current one");
        } else if (event.form() != ListForm.UPDATE) {
            // Each deploy brings new ids: those that have left must not pile up.
            unlisted = new HashSet<>(listed.keySet());
            for (DiscoveredEndpoint discovered : event.endpoints()) {
                unlisted.remove(discovered.endpoint().node());
            }
            listed.keySet().removeAll(unlisted);
            instances.keySet().removeAll(unlisted);
        }
        if (event.form() != ListForm.UNAVAILABLE) {
            String changes = first ? "the first" : EndpointListDiff.describe(listed, event.endpoints(), unlisted);
            Log.info(
                    "endpoint list: %s of %d db nodes: %s",
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
     * Takes over which instance may be used under an id.
     *
     * @param effective the entry's endpoint as the router is notified of it
     * @return whether connections to the instance before lead to none that may be used
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

    /** Whether a connection that was opened to an instance of the id leads to the one that may be used now. */
    boolean isCurrentInstance(String node, EndpointInstance opened, long openedAtMicros) {
        return opened != null && opened.leadsTo(instances.get(node), openedAtMicros);
    }

    /** The list by id, with the roles and log positions that the router has learnt. */
    List<EndpointStatus> statuses(Router router) {
        List<EndpointStatus> statuses = new ArrayList<>();
        for (DiscoveredEndpoint discovered : listed.values()) {
            Endpoint endpoint = discovered.endpoint();
            Endpoint learnt = new Endpoint(
                    endpoint.node(),
                    endpoint.group(),
                    endpoint.zone(),
                    endpoint.state(),
                    router.isPrimary(endpoint.node()),
                    endpoint.startedAtMicros());
            statuses.add(new EndpointStatus(
                    new DiscoveredEndpoint(learnt, discovered.addresses()), router.position(endpoint.node())));
        }
        statuses.sort(
                Comparator.comparing(status -> status.discovered().endpoint().node()));
        return statuses;
    }
}
