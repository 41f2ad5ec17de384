package lupinvalve.core;

import java.util.ArrayList;
import java.util.List;
import lupinvalve.log.Log;
import lupinvalve.maintenance.DrainCommands;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.ListForm;
import lupinvalve.routing.RouterEvent;

/**
 * Passes endpoint list events and operators' drain commands to the router, and closes idle connections to instances
 * that they replace or remove. Core thread only.
 */
final class EndpointUpdates {
    private final EventLoop loop;
    private final EndpointRegistry endpoints;
    private final EndpointDraining draining;
    private final AttemptTable attempts;
    private final RouterDriver router;
    private final DiscoveryReadiness discoveryReadiness;

    EndpointUpdates(
            EventLoop loop,
            EndpointRegistry endpoints,
            EndpointDraining draining,
            AttemptTable attempts,
            RouterDriver router,
            DiscoveryReadiness discoveryReadiness) {
        this.loop = loop;
        this.endpoints = endpoints;
        this.draining = draining;
        this.attempts = attempts;
        this.router = router;
        this.discoveryReadiness = discoveryReadiness;
    }

    /** Applies a complete endpoint list, or a watch event. */
    void onEndpointListEvent(EndpointListEvent event) {
        EndpointRegistry.Departures departures = endpoints.update(event);
        departures.unlisted().forEach(node -> draining.endpointDeparted(node, loop.now()));
        departures.departed().forEach(node -> draining.endpointDeparted(node, loop.now()));
        notifyRouter(event);
        departures.unlisted().forEach(attempts::closeIdleConnections);
        if (event.form() == ListForm.FULL || event.form() == ListForm.UPDATE) {
            discoveryReadiness.listReceived();
        }
    }

    /**
     * Notifies the router of an event's endpoints as overridden by operators' commands, and closes idle connections to
     * instances that are no longer usable.
     */
    private void notifyRouter(EndpointListEvent event) {
        long now = loop.now();
        long graceStartMicros = draining.graceStartMicros(event, now);
        List<Endpoint> effective = new ArrayList<>();
        List<String> replaced = new ArrayList<>();
        for (DiscoveredEndpoint discovered : event.endpoints()) {
            Endpoint endpoint = draining.effective(discovered.endpoint());
            effective.add(endpoint);
            if (endpoints.updateInstance(discovered, endpoint)) {
                replaced.add(endpoint.node());
            }
            draining.update(endpoint, graceStartMicros);
        }
        draining.retainAll(endpoints.instanceIds());
        router.feed(now, new RouterEvent.EndpointUpdate(event.form(), effective, graceStartMicros));
        replaced.forEach(attempts::closeIdleConnections);
    }

    /** Replaces the drain commands of one source and applies what changes by that. */
    void applyDrainCommands(String source, DrainCommands commands) {
        List<DiscoveredEndpoint> changed = new ArrayList<>();
        for (String node : draining.apply(source, commands, loop.now())) {
            Log.info("db node %s: %s by operator", node, draining.isDrainedByOperator(node) ? "drained" : "restored");
            DiscoveredEndpoint listed = endpoints.listed(node);
            if (listed != null) {
                changed.add(listed);
            }
        }
        if (router.isStarted() && !changed.isEmpty()) {
            notifyRouter(new EndpointListEvent(ListForm.UPDATE, changed));
        }
    }
}
