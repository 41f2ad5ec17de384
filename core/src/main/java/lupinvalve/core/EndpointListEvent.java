package lupinvalve.core;

import java.util.List;
import lupinvalve.routing.ListForm;

/**
 * A watch event of the endpoint list, or a complete list.
 *
 * @param form which of them it is
 * @param endpoints those that it names; empty for {@link ListForm#UNAVAILABLE}
 * @param notifiedSinceMicros the earliest time at which it may have been notified, in Unix microseconds: a departure
 *     binds from then on
 */
public record EndpointListEvent(ListForm form, List<DiscoveredEndpoint> endpoints, long notifiedSinceMicros) {
    /** An event that may have been notified long ago, unless it is an update. */
    public EndpointListEvent(ListForm form, List<DiscoveredEndpoint> endpoints) {
        this(form, endpoints, form == ListForm.UPDATE ? Long.MAX_VALUE : Long.MIN_VALUE);
    }
}
