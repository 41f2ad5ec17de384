package lupinvalve.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import lupinvalve.routing.Endpoint;

/** Summarizes for the log what an endpoint list event changes. No I/O. */
final class EndpointListDiff {
    private static final int NAMED_NODES_COUNT = 8;

    private EndpointListDiff() {}

    /**
     * The changes of an event, the first of them by the db node's id, the others as a number.
     *
     * @param current the endpoint list before the event, by id
     * @param next the endpoints in the event
     * @param unlisted ids that a complete list no longer contains
     */
    static String describe(
            Map<String, DiscoveredEndpoint> current, Collection<DiscoveredEndpoint> next, Collection<String> unlisted) {
        List<String> changes = new ArrayList<>();
        for (DiscoveredEndpoint discovered : next) {
            String change = change(current.get(discovered.endpoint().node()), discovered);
            if (change != null) {
                changes.add(discovered.endpoint().node() + " " + change);
            }
        }
        unlisted.forEach(node -> changes.add(node + " unlisted"));
        if (changes.isEmpty()) {
            return "nothing changed";
        }
        String named = String.join(", ", changes.subList(0, Math.min(NAMED_NODES_COUNT, changes.size())));
        return changes.size() > NAMED_NODES_COUNT
                ? named + " and " + (changes.size() - NAMED_NODES_COUNT) + " more"
                : named;
    }

    /** The change of one db node, or null if there is none. */
    private static String change(DiscoveredEndpoint current, DiscoveredEndpoint next) {
        Endpoint endpoint = next.endpoint();
        String state = endpoint.state().name().toLowerCase(Locale.ROOT);
        if (current == null) {
            return "new " + state;
        }
        if (current.endpoint().state() != endpoint.state()) {
            return state;
        }
        if (current.endpoint().startedAtMicros() != endpoint.startedAtMicros()) {
            return "restarted";
        }
        return current.addresses().equals(next.addresses()) ? null : "moved";
    }
}
