package lupinvalve.core;

import java.util.List;
import lupinvalve.routing.ListForm;

/**
 * A complete endpoint list, or a watch event that changes it.
 *
 * @param form what kind of event it is
 * @param endpoints its endpoints; empty for {@link ListForm#UNAVAILABLE}
 * @param notifiedSinceMicros the earliest time at which discovery may have sent it, in Unix microseconds; the grace
 *     period of db nodes that it drains or removes begins then
 */
public record EndpointListEvent(ListForm form, List<DiscoveredEndpoint> endpoints, long notifiedSinceMicros) {
    /**
     * An event of unknown age: an update counts as sent when it is applied; any other event as sent long ago, since a
     * complete list may repeat a drain that was notified long ago.
     */
    public EndpointListEvent(ListForm form, List<DiscoveredEndpoint> endpoints) {
        this(form, endpoints, form == ListForm.UPDATE ? Long.MAX_VALUE : Long.MIN_VALUE);
    }
}
